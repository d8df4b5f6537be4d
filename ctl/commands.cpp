#include "ctl/commands.h"

#include "core/object_reader.h"
#include "ctl/arguments.h"
#include "ctl/command_context.h"
#include "ctl/declaration_commands.h"
#include "ctl/input_file.h"
#include "ctl/wait_command.h"
#include "workspaces/key_digest.h"

#include <algorithm>
#include <array>
#include <ostream>

namespace lycheetrestle::ctl {

namespace {

constexpr std::size_t MaxJobBytes = 64u << 10;
constexpr std::size_t MaxKeyBytes = 1024;
// Stands for the id of a job that is not submitted.
constexpr std::string_view ExampleJobId = "0000000000000000";

/// Local validation of an argument, before any request is sent.
enum class argument : unsigned char { None, File, Name, Number };

struct command_entry {
  std::string_view Words; ///< One or two words that select the command.
  std::array<argument, 2> Arguments;
  std::size_t Required; ///< Arguments that must be present.
  bool Local;           ///< Needs no replica.
  exit_code (*Run)(const command_context &);
};

template <const char *Path> exit_code readPath(const command_context &Context) {
  return Context.finish(Context.Client->read(Path));
}

template <const char *Path>
exit_code changePath(const command_context &Context) {
  return Context.finish(Context.change("POST", Path));
}

template <const char *Action>
exit_code changeHost(const command_context &Context) {
  std::string Body;
  if (Context.Arguments.size() > 1)
    Body = nlohmann::json{{"pool", Context.Arguments[1]}}.dump();
  auto Outcome = Context.change(
      "POST", "/v1/hosts/" + Context.Arguments[0] + "/" + Action, Body);
  checkChangedObject(Outcome, "host", Context.Arguments[0]);
  return Context.finish(Outcome);
}

exit_code submitJob(const command_context &Context) {
  auto Job = core::capture([&]() -> core::result<std::string> {
    BOOST_LEAF_AUTO(Text, readInput(Context.Arguments[0], MaxJobBytes));
    BOOST_LEAF_AUTO(Value, core::parseJson(Text, MaxJobBytes));
    return Value.dump();
  });
  if (auto *Failure = std::get_if<1>(&Job))
    return Context.rejectInput(*Failure);
  return Context.finish(Context.change("POST", "/v1/jobs", std::get<0>(Job)));
}

exit_code cancelJob(const command_context &Context) {
  return Context.finish(
      Context.change("DELETE", "/v1/jobs/" + Context.Arguments[0]));
}

exit_code audit(const command_context &Context) {
  const auto &Options = Context.Options;
  std::string Path = "/v1/audit?after=" + std::to_string(Options.After) +
                     "&limit=" + std::to_string(Options.Limit);
  auto Add = [&](const char *Name, const std::string &Value) {
    if (!Value.empty())
      Path += std::string("&") + Name + "=" + Context.Client->escape(Value);
  };
  Add("actor", Options.By);
  Add("host", Options.Object);
  Add("kind", Options.Kind);
  return Context.finish(Context.Client->read(Path));
}

core::result<std::string> explanationRequest(const command_context &Context) {
  const auto &Argument = Context.Arguments[0];
  const auto &Queue = Context.Options.Queue;
  if (Queue.empty())
    return nlohmann::json{{"job", Argument}}.dump();
  BOOST_LEAF_AUTO(Document, readInput(Argument, MaxJobBytes));
  auto Slash = Queue.find('/');
  if (Slash == std::string::npos || Slash == 0)
    return core::fail({core::error_code::BadInput, "must be HOST/PATH", "queue",
                       Queue, core::verdict::NotRun});
  auto Path = Queue.substr(Slash);
  if (Path.back() == '/')
    Path += ExampleJobId;
  nlohmann::json Body = {
      {"host", Queue.substr(0, Slash)}, {"path", Path}, {"document", Document}};
  if (!Context.Options.KeyFile.empty()) {
    BOOST_LEAF_AUTO(Key, readInput(Context.Options.KeyFile, MaxKeyBytes));
    while (!Key.empty() && (Key.back() == '\n' || Key.back() == '\r'))
      Key.pop_back();
    Body["key_digest"] = workspaces::digestOf(Key);
  }
  return Body.dump();
}

exit_code explainJob(const command_context &Context) {
  auto Body = core::capture([&] { return explanationRequest(Context); });
  if (auto *Failure = std::get_if<1>(&Body))
    return Context.rejectInput(*Failure);
  return Context.finish(Context.Client->postDryRun(
      "/v1/schedule/explain", std::move(std::get<0>(Body))));
}

constexpr char StatusPath[] = "/v1/status", HostsPath[] = "/v1/hosts",
               ReplicasPath[] = "/v1/replicas", WavesPath[] = "/v1/waves",
               JobsPath[] = "/v1/jobs", StartPath[] = "/v1/maintenance/start",
               PausePath[] = "/v1/maintenance/pause",
               ResumePath[] = "/v1/maintenance/resume", Drain[] = "drain",
               Reboot[] = "reboot", Move[] = "move", Return[] = "return",
               SchedulePath[] = "/v1/schedule",
               MembersPath[] = "/v1/schedule/members",
               EndpointsPath[] = "/v1/schedule/endpoints",
               ScheduledJobsPath[] = "/v1/schedule/jobs",
               ScheduledWavesPath[] = "/v1/schedule/waves",
               WorkspacesPath[] = "/v1/schedule/workspaces";

using enum argument;
constexpr std::array<command_entry, 27> Commands = {{
    {"validate", {File, None}, 1, true, &validateCommand},
    {"plan", {File, None}, 1, false, &planCommand},
    {"submit", {File, None}, 1, false, &submitCommand},
    {"wait", {Number, None}, 1, false, &waitCommand},
    {"status", {None, None}, 0, false, &readPath<StatusPath>},
    {"hosts", {None, None}, 0, false, &readPath<HostsPath>},
    {"replicas", {None, None}, 0, false, &readPath<ReplicasPath>},
    {"waves", {None, None}, 0, false, &readPath<WavesPath>},
    {"declarations", {Number, None}, 0, false, &declarationsCommand},
    {"drain", {Name, None}, 1, false, &changeHost<Drain>},
    {"reboot", {Name, None}, 1, false, &changeHost<Reboot>},
    {"move", {Name, Name}, 2, false, &changeHost<Move>},
    {"return", {Name, None}, 1, false, &changeHost<Return>},
    {"maintenance start", {None, None}, 0, false, &changePath<StartPath>},
    {"maintenance pause", {None, None}, 0, false, &changePath<PausePath>},
    {"maintenance resume", {None, None}, 0, false, &changePath<ResumePath>},
    {"jobs list", {None, None}, 0, false, &readPath<JobsPath>},
    {"jobs submit", {File, None}, 1, false, &submitJob},
    {"jobs cancel", {Number, None}, 1, false, &cancelJob},
    {"audit", {None, None}, 0, false, &audit},
    {"schedule status", {None, None}, 0, false, &readPath<SchedulePath>},
    {"schedule members", {None, None}, 0, false, &readPath<MembersPath>},
    {"schedule endpoints", {None, None}, 0, false, &readPath<EndpointsPath>},
    {"schedule jobs", {None, None}, 0, false, &readPath<ScheduledJobsPath>},
    {"schedule waves", {None, None}, 0, false, &readPath<ScheduledWavesPath>},
    {"schedule workspaces", {None, None}, 0, false, &readPath<WorkspacesPath>},
    {"schedule explain", {File, None}, 1, false, &explainJob},
}};

const command_entry *findCommand(const std::vector<std::string> &Words) {
  auto Matches = [&](const command_entry &Entry) {
    if (Words[0] == Entry.Words)
      return true;
    return Words.size() > 1 && Words[0] + " " + Words[1] == Entry.Words;
  };
  auto Found = std::find_if(Commands.begin(), Commands.end(), Matches);
  return Found == Commands.end() ? nullptr : &*Found;
}

// Up to two words, because some commands consist of two.
std::string firstWords(const std::vector<std::string> &Words) {
  return Words.size() > 1 ? Words[0] + " " + Words[1] : Words[0];
}

std::string checkArguments(const command_entry &Command,
                           const std::vector<std::string> &Arguments) {
  std::size_t Allowed = 0;
  while (Allowed < 2 && Command.Arguments[Allowed] != None)
    ++Allowed;
  if (Arguments.size() < Command.Required || Arguments.size() > Allowed)
    return std::string(Command.Words) +
           " has a wrong number of arguments: expected " +
           std::to_string(Command.Required) +
           (Allowed > Command.Required ? " to " + std::to_string(Allowed)
                                       : "") +
           ", got " + std::to_string(Arguments.size());
  for (std::size_t I = 0; I < Arguments.size(); ++I) {
    if (Command.Arguments[I] == Name && !isName(Arguments[I]))
      return "\"" + Arguments[I] +
             "\" is not a name: letters, digits, '.', '_' and '-', at most 64";
    if (Command.Arguments[I] == Number && !parseNumber(Arguments[I]))
      return "\"" + Arguments[I] + "\" is not a whole number";
  }
  return {};
}

exit_code rejectUsage(std::ostream &Err, const std::string &Problem) {
  Err << "error: " << Problem << "; see lycheetrestlectl --help\n";
  return exit_code::BadInput;
}

} // namespace

exit_code runCommand(const command_line &Line, std::ostream &Out,
                     std::ostream &Err) {
  if (!Line.Problem.empty())
    return rejectUsage(Err, Line.Problem);
  if (Line.Help) {
    Out << helpText();
    return exit_code::Done;
  }
  if (Line.Words.empty())
    return rejectUsage(Err, "a command is needed");
  const auto *Command = findCommand(Line.Words);
  if (!Command)
    return rejectUsage(Err, "unknown command " + firstWords(Line.Words));
  auto FirstArgument =
      std::count(Command->Words.begin(), Command->Words.end(), ' ') + 1;
  command_context Context{
      Line.Options,
      {Line.Words.begin() + FirstArgument, Line.Words.end()},
      Out,
      Err};
  auto Problem = checkArguments(*Command, Context.Arguments);
  if (!Problem.empty())
    return rejectUsage(Err, Problem);
  if (Command->Local)
    return Command->Run(Context);
  if (Line.Options.Replicas.empty())
    return rejectUsage(
        Err, "--control or LYCHEETRESTLE_CONTROL must name a control replica");
  for (const auto &Replica : Line.Options.Replicas)
    if (!isAddress(Replica))
      return rejectUsage(Err,
                         "control replica \"" + Replica +
                             "\" is not host:port with a port of 1 to 65535");
  replica_client Client(Line.Options, Err);
  Context.Client = &Client;
  return Command->Run(Context);
}

} // namespace lycheetrestle::ctl
