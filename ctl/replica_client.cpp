#include "ctl/replica_client.h"

#include "core/clock.h"
#include "core/network_address.h"
#include "ctl/arguments.h"
#include "ctl/refusal.h"

#include <algorithm>
#include <ostream>
#include <thread>

namespace lycheetrestle::ctl {

namespace {

using std::chrono::milliseconds;

// During an election, replicas may briefly name each other as leader.
constexpr int MaxLeaderHops = 3;
// Pause after a round over all replicas without a final reply.
constexpr milliseconds RetryPause{100};
// A replica that hangs still accepts connections; one attempt may use only this
// part of the timeout, so that time is left for the other replicas.
constexpr int AttemptsPerTimeout = 3;
// A shorter attempt would end in a timeout and make the outcome unknown.
constexpr milliseconds MinAttemptTimeout{50};

milliseconds timeLeft(core::time_point Deadline) {
  return std::chrono::duration_cast<milliseconds>(Deadline -
                                                  core::boot_clock::now());
}

} // namespace

std::string leaderAddress(std::string_view Header) {
  while (!Header.empty()) {
    auto End = Header.find_first_of(" ,;=");
    auto Word = Header.substr(0, End);
    // Unlike an address that a person gave, the one in a response is no name.
    if (auto Address = core::network_address::parse(Word);
        Address && Address->isUnicast())
      return Address->text();
    if (End == std::string_view::npos)
      break;
    Header.remove_prefix(End + 1);
  }
  return {};
}

replica_client::replica_client(const options &Options, std::ostream &Log)
    : Options(Options), Log(Log) {
  selectNextReplica();
}

void replica_client::selectNextReplica() {
  Target = Options.Replicas[NextReplica];
  NextReplica = (NextReplica + 1) % Options.Replicas.size();
}

call_outcome replica_client::read(const std::string &Path) {
  return read(Path, Options.Timeout);
}

call_outcome replica_client::read(const std::string &Path, milliseconds Limit) {
  return call({"GET", Path, {}, {}}, false, std::min(Limit, Options.Timeout));
}

call_outcome replica_client::postDryRun(const std::string &Path,
                                        std::string Body) {
  return call({"POST", Path, std::move(Body), {{"X-Actor", Options.Actor}}},
              false, Options.Timeout);
}

call_outcome replica_client::change(std::string Method, const std::string &Path,
                                    std::string Body) {
  return call(
      {std::move(Method),
       Path,
       std::move(Body),
       {{"X-Submission-Id", Options.Submission}, {"X-Actor", Options.Actor}}},
      true, Options.Timeout);
}

call_outcome replica_client::call(const http_request &Request, bool Changes,
                                  milliseconds Timeout) {
  const auto Deadline = core::boot_clock::now() + Timeout;
  const milliseconds AttemptLimit =
      std::max(Timeout / AttemptsPerTimeout, RetryPause);
  // Set once an attempt may have made the change; from then on only a final
  // reply to the same submission id determines the outcome.
  bool Uncertain = false;
  std::string LastProblem = "no replica answered";
  int Hops = 0;
  std::size_t Failures = 0;

  while (timeLeft(Deadline) >= MinAttemptTimeout) {
    const std::string Address = Target;
    auto Exchange = Session.send(Address, Request,
                                 std::min(timeLeft(Deadline), AttemptLimit));
    if (Exchange.Delivery != delivery::Answered) {
      LastProblem = Address + ": " + Exchange.Problem;
      if (Changes && Exchange.Delivery == delivery::Lost) {
        Uncertain = true;
        Log << "no answer from " << Address << " (" << Exchange.Problem
            << "); resending submission " << Options.Submission << '\n';
      }
    } else if (Exchange.Reply.Status == 421) {
      LastProblem = Address + ": not the leader";
      auto Leader = leaderAddress(Exchange.Reply.Leader);
      if (!Leader.empty() && Leader != Address && Hops < MaxLeaderHops) {
        ++Hops;
        Target = Leader;
        continue;
      }
    } else {
      const auto &Reply = Exchange.Reply;
      if (Reply.Status >= 200 && Reply.Status < 300)
        return {exit_code::Done, Reply.Body, {}};
      auto Refusal = readRefusal(Reply);
      if (Refusal.Final && (!Uncertain || Refusal.CertainlyNotRun))
        return {Refusal.Code, Reply.Body, Refusal.Message};
      LastProblem = Address + ": " + Refusal.Message;
      Uncertain = Uncertain || (Changes && !Refusal.CertainlyNotRun);
    }
    selectNextReplica();
    Hops = 0;
    if (++Failures % Options.Replicas.size() == 0)
      std::this_thread::sleep_for(
          std::clamp(timeLeft(Deadline), milliseconds(0), RetryPause));
  }
  if (Uncertain)
    return {exit_code::Unknown,
            {},
            "the outcome is unknown: the change may have been made; repeat "
            "the command with --submission=" +
                Options.Submission + " to find out (" + LastProblem + ")"};
  return {exit_code::Unavailable, {}, LastProblem};
}

} // namespace lycheetrestle::ctl
