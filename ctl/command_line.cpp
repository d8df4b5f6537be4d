#include "ctl/command_line.h"

#include <gflags/gflags.h>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <random>

// NOLINTBEGIN(readability-identifier-naming): gflags derives these names.
DEFINE_string(control, "", "control replicas, host:port,host:port");
DEFINE_string(output, "table", "table or json");
DEFINE_string(actor, "", "name for the audit trail");
DEFINE_string(submission, "", "id of the change; equal ids are one change");
DEFINE_uint32(timeout_ms, 15000, "limit for one call in ms, resends included");
DEFINE_uint32(wait_timeout_ms, 60000,
              "limit for wait and submit --wait, in ms");
DEFINE_bool(wait, false, "submit: wait until in force everywhere");
DEFINE_string(by, "", "audit: only changes of this actor");
DEFINE_string(object, "", "audit: only changes of this host or object");
DEFINE_string(kind, "", "audit: only changes of this kind");
DEFINE_string(queue, "", "schedule explain: HOST/PATH of the queue");
DEFINE_string(key_file, "", "schedule explain: file with the caller's key");
DEFINE_uint64(after, 0, "audit: only changes after this index");
DEFINE_uint32(limit, 100, "audit: at most this many changes");
// NOLINTEND(readability-identifier-naming)

DECLARE_bool(help);

namespace lycheetrestle::ctl {

namespace {

constexpr std::uint32_t MinTimeoutMs = 100, MaxTimeoutMs = 3'600'000;
constexpr std::size_t MaxHeaderValueBytes = 128;

std::string environment(const char *Name) {
  const char *Value = std::getenv(Name);
  return Value ? Value : "";
}

std::vector<std::string> splitList(const std::string &List) {
  std::vector<std::string> Parts;
  for (std::size_t Begin = 0; Begin <= List.size();) {
    auto End = std::min(List.find(',', Begin), List.size());
    if (End > Begin)
      Parts.push_back(List.substr(Begin, End - Begin));
    Begin = End + 1;
  }
  return Parts;
}

std::string randomId() {
  std::random_device Device;
  std::array<char, 33> Text{};
  std::snprintf(Text.data(), Text.size(), "%08x%08x%08x%08x", Device(),
                Device(), Device(), Device());
  return Text.data();
}

// Returns whether control replicas accept the text as the value of X-Actor and
// X-Submission-Id.
bool isHeaderSafe(const std::string &Text) {
  for (char C : Text)
    if (C <= ' ' || C > '~')
      return false;
  return Text.size() <= MaxHeaderValueBytes;
}

/// Sets the flags one by one, because gflags::ParseCommandLineFlags ends the
/// process with exit code 1 on an error.
class flag_reader {
public:
  explicit flag_reader(const std::vector<std::string> &Arguments)
      : Arguments(Arguments) {}

  /// \returns a usage error, or empty.
  std::string read(std::vector<std::string> &Words) {
    while (Next < Arguments.size()) {
      const auto &Argument = Arguments[Next++];
      if (Argument == "--") {
        Words.insert(Words.end(), Arguments.begin() + Next, Arguments.end());
        return {};
      }
      if (Argument.size() < 2 || Argument[0] != '-') {
        Words.push_back(Argument);
        continue;
      }
      auto Problem = readFlag(Argument);
      if (!Problem.empty())
        return Problem;
    }
    return {};
  }

private:
  std::string readFlag(const std::string &Argument) {
    auto Begin = Argument.find_first_not_of('-');
    auto Equals = Argument.find('=');
    if (Begin == std::string::npos)
      return "unknown flag " + Argument;
    auto Name = Argument.substr(Begin, Equals - Begin);
    gflags::CommandLineFlagInfo Flag;
    if (!gflags::GetCommandLineFlagInfo(Name.c_str(), &Flag))
      return "unknown flag --" + Name;
    std::string Value = "true";
    if (Equals != std::string::npos)
      Value = Argument.substr(Equals + 1);
    else if (Flag.type != "bool") {
      if (Next == Arguments.size())
        return "flag --" + Name + " needs a value";
      Value = Arguments[Next++];
    }
    if (gflags::SetCommandLineOption(Name.c_str(), Value.c_str()).empty())
      return "flag --" + Name + " cannot have the value \"" + Value +
             "\": expected " + Flag.type;
    return {};
  }

  const std::vector<std::string> &Arguments;
  std::size_t Next = 0;
};

std::string checkFlags() {
  if (FLAGS_output != "table" && FLAGS_output != "json")
    return "--output must be table or json, got \"" + FLAGS_output + "\"";
  for (auto Value : {FLAGS_timeout_ms, FLAGS_wait_timeout_ms})
    if (Value < MinTimeoutMs || Value > MaxTimeoutMs)
      return "--timeout_ms and --wait_timeout_ms must be 100 to 3600000, got " +
             std::to_string(Value);
  if (!isHeaderSafe(FLAGS_actor) || !isHeaderSafe(FLAGS_submission))
    return "--actor and --submission must have at most 128 printable ASCII "
           "characters and no spaces";
  return {};
}

} // namespace

command_line readCommandLine(const std::vector<std::string> &Arguments) {
  command_line Line;
  Line.Problem = flag_reader(Arguments).read(Line.Words);
  Line.Help = FLAGS_help || (!Line.Words.empty() && Line.Words[0] == "help");
  if (Line.Problem.empty())
    Line.Problem = checkFlags();

  auto &Options = Line.Options;
  Options.Replicas =
      splitList(FLAGS_control.empty() ? environment("LYCHEETRESTLE_CONTROL")
                                      : FLAGS_control);
  Options.Json = FLAGS_output == "json";
  Options.Actor = FLAGS_actor.empty() ? environment("USER") : FLAGS_actor;
  if (Options.Actor.empty() || !isHeaderSafe(Options.Actor))
    Options.Actor = "operator";
  Options.Submission = FLAGS_submission.empty() ? randomId() : FLAGS_submission;
  Options.Timeout = std::chrono::milliseconds(FLAGS_timeout_ms);
  Options.WaitTimeout = std::chrono::milliseconds(FLAGS_wait_timeout_ms);
  Options.Wait = FLAGS_wait;
  Options.By = FLAGS_by;
  Options.Object = FLAGS_object;
  Options.Kind = FLAGS_kind;
  Options.Queue = FLAGS_queue;
  Options.KeyFile = FLAGS_key_file;
  Options.After = FLAGS_after;
  Options.Limit = FLAGS_limit;
  return Line;
}

std::string_view helpText() {
  return R"(Usage: lycheetrestlectl COMMAND [ARGUMENTS] [--flags]

Declarations
  validate FILE           check a declaration locally, without a replica
  plan FILE               show what accepting the declaration would do
  submit FILE [--wait]    submit it; with --wait, return when it is in force
  wait NUMBER             wait until a declaration is in force at every entry
  declarations [NUMBER]   list the accepted declarations, or show one
State
  status                  pools with budgets, entries and their version
  hosts                   hosts with pool, state and epoch
  replicas                control replicas
  waves                   maintenance waves
  audit                   audit trail; --by, --object, --kind, --after, --limit
Hosts
  drain HOST              take a host out of service
  reboot HOST             drain and reboot it
  move HOST POOL          drain it and move it to another pool
  return HOST             put it back into service
Maintenance
  maintenance start|pause|resume
                          control the maintenance wave
Jobs
  jobs list               list the jobs
  jobs submit FILE        submit a job; JSON: team, pool, class, cores,
                          memory_mb, accelerators, run_seconds
  jobs cancel ID          cancel a job
Schedulers (--control names one of them, with its listen or metrics port)
  schedule status         role, leader, configuration and counts
  schedule members        replicas of the schedule
  schedule endpoints      endpoint incarnations with pool and number of runs
  schedule jobs           unfinished jobs, oldest first
  schedule waves          maintenance waves of the scheduler
  schedule workspaces     use, limit, share and queued tasks of workspaces
  schedule explain JOB    where the waiting tasks of a job would start now
  schedule explain FILE --queue=HOST/PATH [--key_file=FILE]
                          the same, and the answer, for a job that is not
                          submitted; PATH ends with / or with the job's id

Flags
  --control=HOST:PORT,... control replicas; default LYCHEETRESTLE_CONTROL
  --output=table|json     default table
  --actor=NAME            name for the audit trail; default USER
  --submission=ID         id of the change; default random, printed on standard
                          error. Repeat a command with the same id after an
                          unknown outcome: it is made at most once.
  --timeout_ms=N          limit for one call in ms, resends included;
                          default 15000
  --wait_timeout_ms=N     limit for a wait in ms; default 60000

Exit codes
  0  done
  1  refused; nothing was changed
  2  usage error or bad input; nothing was changed
  3  no replica could answer; the change was certainly not made
  4  outcome unknown; repeat with the same --submission
  5  the wait timed out; the declaration stays accepted

Examples
  export LYCHEETRESTLE_CONTROL=10.0.0.1:7101,10.0.0.2:7101,10.0.0.3:7101
  lycheetrestlectl validate declaration.jsonc
  lycheetrestlectl submit declaration.jsonc --wait --actor=pipeline
  lycheetrestlectl reboot w01 --submission=ticket-4711
  lycheetrestlectl audit --by=pipeline --limit=20 --output=json
)";
}

} // namespace lycheetrestle::ctl
