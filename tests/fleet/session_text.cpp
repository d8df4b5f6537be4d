#include "session_text.h"

#include "fleet_fixture.h"

#include <algorithm>
#include <sstream>
#include <stdexcept>

namespace lycheetrestle::fleet {

namespace {

host_goal parseGoal(const std::string &Name) {
  for (auto Goal :
       {host_goal::None, host_goal::Drain, host_goal::Reboot, host_goal::Move})
    if (toString(Goal) == Name)
      return Goal;
  return host_goal::None;
}

job_state parseJobState(const std::string &Name) {
  for (auto State :
       {job_state::Waiting, job_state::Starting, job_state::Running,
        job_state::Checkpointed, job_state::Succeeded, job_state::Failed,
        job_state::Cancelled, job_state::Impossible})
    if (toString(State) == Name)
      return State;
  return job_state::Waiting;
}

/// Reads `declare <number> [without=<host>] [home=<host>:<pool>]...`.
command_body parseDeclare(std::istringstream &Arguments) {
  std::uint64_t Number = 0;
  Arguments >> Number;
  auto Next = smallDeclaration(Number);
  for (std::string Argument; Arguments >> Argument;) {
    auto Value = Argument.substr(Argument.find('=') + 1);
    auto Host = Value.substr(0, Value.find(':'));
    if (Argument.starts_with("without="))
      std::erase_if(Next.Hosts, [&](const auto &H) { return H.Name == Host; });
    for (auto &Spec : Next.Hosts)
      if (Argument.starts_with("home=") && Spec.Name == Host)
        Spec.HomePool = Value.substr(Value.find(':') + 1);
  }
  return submit_declaration{Next};
}

command_body parseJob(const std::string &Verb, std::istringstream &Arguments) {
  if (Verb == "submit") {
    submit_job Job;
    Arguments >> Job.Team >> Job.Pool >> Job.Declared.Cores >>
        Job.Declared.MemoryMb;
    return Job;
  }
  std::uint64_t Id = 0, Lease = 0;
  Arguments >> Id;
  if (Verb == "cancel")
    return cancel_job{Id};
  if (Verb == "start") {
    start_job Start{Id, "", 0, 0};
    Arguments >> Start.Host >> Start.HostEpoch >> Start.LeaseUntilMs;
    return Start;
  }
  Arguments >> Lease;
  if (Verb == "renew") {
    renew_job_lease Renew{Id, Lease, 0};
    Arguments >> Renew.LeaseUntilMs;
    return Renew;
  }
  std::string To;
  resources Learned;
  Arguments >> To >> Learned.Cores;
  return change_job_state{Id, Lease, parseJobState(To), Learned, ""};
}

command_body parseCommand(std::istringstream &Arguments) {
  std::string Name, First, Second;
  Arguments >> Name;
  if (Name == "declare")
    return parseDeclare(Arguments);
  Arguments >> First;
  if (Name == "job")
    return parseJob(First, Arguments);
  Arguments >> Second;
  if (Name == "goal") {
    request_host_goal Request{First, parseGoal(Second), ""};
    Arguments >> Request.TargetPool;
    return Request;
  }
  if (Name == "host") {
    change_host_state Change{First, 0, {}, {}, "", 0, ""};
    std::string Goal;
    Change.FromEpoch = std::stoull(Second);
    Arguments >> Second >> Goal >> Change.Wave >> Change.TargetPool;
    Change.To = parseHostState(Second).value();
    Change.Goal = parseGoal(Goal);
    return Change;
  }
  if (Name == "wave") {
    if (First == "start")
      return start_wave{};
    auto Id = std::stoull(Second);
    if (First == "pause")
      return pause_wave{Id, "by hand"};
    if (First == "resume")
      return resume_wave{Id};
    return finish_wave{Id};
  }
  std::string Holder;
  Arguments >> Holder;
  if (Name == "key" && First == "reserve") {
    reserve_key Reserve{Second, 1, Holder};
    Arguments >> Reserve.RequestDigest;
    return Reserve;
  }
  if (Name == "key" && First == "complete")
    return complete_key{Second, Holder, 200, "text/plain", "body", false};
  if (Name == "key" && First == "abandon")
    return abandon_key{Second, Holder};
  throw std::runtime_error("unknown command in a session: " + Name);
}

std::string resultText(const apply_result &Result) {
  if (!Result.Failure)
    return "= " + Result.Response + "\n";
  std::string Text = "! ";
  Text += core::toString(Result.Failure->Code);
  return Text + " " + Result.Failure->Field + "=" + Result.Failure->Value +
         ": " + Result.Failure->Message + "\n";
}

} // namespace

std::string runSession(const std::string &Text) {
  fleet_fixture Fleet;
  std::ostringstream Out;
  std::istringstream Lines(Text);
  for (std::string Line; std::getline(Lines, Line);) {
    if (Line.starts_with("#"))
      Out << Line << "\n";
    if (!Line.starts_with(">"))
      continue;
    std::istringstream Arguments(Line.substr(1));
    std::string Submission, Actor;
    Arguments >> Submission >> Actor >> Fleet.TimeMs;
    auto Body = parseCommand(Arguments);
    Out << Line << "\n"
        << resultText(
               Fleet.run(Body, Submission == "-" ? "" : Submission, Actor));
  }
  Out << "\nhosts not in service or away from home\n";
  for (const auto &[Name, Host] : Fleet.State.hosts())
    if (Host.State != host_state::InService || Host.Pool != Host.Spec.HomePool)
      Out << Name << " " << toString(Host.State) << " epoch=" << Host.Epoch
          << " pool=" << Host.Pool << " home=" << Host.Spec.HomePool << "\n";
  Out << "\naudit\n";
  audit_filter All;
  All.Limit = 1'000;
  for (const auto &R : Fleet.State.audit(All))
    Out << R.Index << " " << R.TimeMs << " " << R.Actor << " " << R.Kind << " "
        << R.Object << " [" << R.Before << "] -> [" << R.After << "] "
        << R.Result << "\n";
  return Out.str();
}

} // namespace lycheetrestle::fleet
