#include "tests/reconciler/fleet_run.h"

#include <algorithm>
#include <variant>

namespace lycheetrestle::testing {

namespace {

constexpr std::int64_t RoundMs = 100;
constexpr std::int64_t ServeWithoutControlMs = 3000;
constexpr std::size_t EntryCount = 12;
constexpr std::uint64_t MaxOrderDelayMs = 150;
// For orders of the old leader after a change of leader.
constexpr std::uint64_t MaxLateOrderDelayMs = 5000;
constexpr std::uint64_t MaxRequestMs = 400;

core::time_point timeOf(std::int64_t Ms) {
  return core::time_point(std::chrono::milliseconds(Ms));
}

reconciler::reconciler_settings runSettings() {
  reconciler::reconciler_settings Settings;
  Settings.ReturnTimeout = std::chrono::seconds(60);
  Settings.Sizer.IdleBeforeReturn = std::chrono::seconds(60);
  return Settings;
}

} // namespace

fleet_run::fleet_run(const deployment &Shape, std::uint64_t Seed)
    : Random(Seed), Platform({}, standin::profileByJob), Entries(EntryCount),
      Reconciler(runSettings()) {
  auto Declaration = declarationOf(Shape);
  for (const auto &Host : Declaration.Hosts) {
    Platform.addHost(Host.Name, Host.HomePool);
    PoolOnPlatform[Host.Name] = Host.HomePool;
  }
  auto Result = commit(fleet::submit_declaration{std::move(Declaration)});
  recordViolationIf(Result.Failure.has_value(), "the declaration was refused");
  for (std::size_t Number = 0; Number < Entries.size(); ++Number)
    Entries[Number].Status.Name = "entry" + std::to_string(Number);
  Reconciler.reset(timeOf(NowMs));
}

void fleet_run::recordViolationIf(bool Condition, const std::string &What) {
  if (Condition && Violation.empty())
    Violation = "at " + std::to_string(NowMs) + " ms: " + What;
}

fleet::apply_result fleet_run::commit(fleet::command_body Body,
                                      std::string Actor) {
  fleet::command Command;
  Command.Submission = "s" + std::to_string(++Submission);
  Command.Actor = std::move(Actor);
  Command.TimeMs = NowMs;
  if (const auto *Goal = std::get_if<fleet::request_host_goal>(&Body))
    HostsWithOperatorGoal.insert(Goal->Host);
  Command.Body = std::move(Body);
  return State.apply(Command, ++Index);
}

std::uint32_t fleet_run::available(std::string_view Pool) const {
  return std::uint32_t(std::count_if(
      State.hosts().begin(), State.hosts().end(), [&](const auto &Entry) {
        return Entry.second.Pool == Pool &&
               Entry.second.State == fleet::host_state::InService;
      }));
}

void fleet_run::commitPlanned(fleet::command_body Body) {
  std::string Pool;
  std::string LeavingHost;
  if (const auto *Change = std::get_if<fleet::change_host_state>(&Body)) {
    auto Found = State.hosts().find(Change->Host);
    if (Found != State.hosts().end() &&
        Found->second.State == fleet::host_state::InService &&
        Change->To != fleet::host_state::Failed) {
      LeavingHost = Change->Host;
      Pool = Found->second.Pool;
    }
    if (Change->To == fleet::host_state::Failed)
      HostsEverLost.insert(Change->Host);
  }
  fleet::command Command;
  Command.Actor = "system";
  Command.TimeMs = NowMs;
  Command.Body = std::move(Body);
  auto Result = State.apply(Command, ++Index);
  if (Result.Failure) {
    ++Refused;
    ++RefusalReasons[Result.Failure->Message];
    recordViolationIf(
        Result.Failure->Code == core::error_code::BudgetExceeded ||
            Result.Failure->Code == core::error_code::Overloaded ||
            Result.Failure->Message.find("comes first") != std::string::npos,
        "a planned command was refused: " + Result.Failure->Message);
    return;
  }
  if (LeavingHost.empty())
    return;
  for (const auto &Summary : State.pools())
    if (Summary.Name == Pool)
      recordViolationIf(available(Pool) < Summary.Minimum,
                        "a planned step of " + LeavingHost + " took pool " +
                            Pool + " under its budget");
}

void fleet_run::round() {
  NowMs += RoundMs;
  runEntries();
  std::vector<reconciler::entry_status> Statuses;
  for (const auto &Entry : Entries)
    Statuses.push_back(Entry.Status);
  std::optional<std::vector<platform::host_report>> Reports;
  if (PlatformReachable)
    Reports = Platform.report(NowMs);
  checkPlatform();
  auto Output = Reconciler.plan(State, Reports, Statuses, timeOf(NowMs), NowMs);
  std::set<std::string> Stepped;
  for (auto &Command : Output.Commands) {
    if (const auto *Change = std::get_if<fleet::change_host_state>(&Command)) {
      recordViolationIf(!Stepped.insert(Change->Host).second,
                        "two steps of " + Change->Host + " in one round");
      if (Change->Wave != 0) {
        const auto &Wave = State.waves().at(Change->Wave);
        recordViolationIf(
            Wave.Failures >=
                State.currentDeclaration().Maintenance.PauseAfterFailures,
            "a wave with too many failures takes another host");
      }
    }
    commitPlanned(std::move(Command));
  }
  for (const auto &Order : Output.Orders) {
    auto Job = State.jobs().find(Order.Job);
    bool GrantsLease = Order.Kind == platform::order_kind::StartTask ||
                       Order.Kind == platform::order_kind::RenewTask;
    recordViolationIf(GrantsLease &&
                          (Job == State.jobs().end() ||
                           NowMs + Order.LeaseMs > Job->second.LeaseUntilMs),
                      "the platform was granted more than the committed lease");
  }
  for (auto &Order : Output.Orders)
    if (PlatformReachable)
      Delayed.push_back(
          {NowMs + std::int64_t(Random() % MaxOrderDelayMs), std::move(Order)});
  deliverOrders();
  checkExecuted();
}

void fleet_run::changeLeader() {
  // Orders that the old leader had decided are still delivered for a while.
  for (auto &Late : Delayed)
    Late.AtMs += std::int64_t(Random() % MaxLateOrderDelayMs);
  for (const auto &[Name, Host] : State.hosts())
    if (Host.State != fleet::host_state::InService && Random() % 2 == 0) {
      platform::order Order;
      Order.Kind = platform::order_kind(Random() % 4);
      Order.Host = Name;
      Order.Epoch = Host.Epoch - 1;
      Order.TargetPool =
          Order.Kind == platform::order_kind::Move ? Host.Pool : "";
      // The platform accepts an old order when no newer one has arrived, so
      // only orders older than an executed one are sent.
      if (NewestEpoch[Name] > Order.Epoch)
        Delayed.push_back({NowMs + std::int64_t(Random() % MaxLateOrderDelayMs),
                           std::move(Order)});
    }
  Reconciler.reset(timeOf(NowMs));
}

void fleet_run::setFaults(const std::string &Host,
                          standin::host_faults Faults) {
  Platform.setFaults(Host, Faults, NowMs);
  if (Faults.Down || Faults.NoReturn)
    HostsEverLost.insert(Host);
}

void fleet_run::setBusySlots(const std::string &Service, std::uint32_t Slots) {
  BusySlots[Service] = Slots;
}

void fleet_run::runEntries() {
  for (std::size_t Number = 0; Number < Entries.size(); ++Number) {
    auto &Entry = Entries[Number];
    auto &InFlight = Entry.InFlight;
    InFlight.erase(InFlight.begin(), InFlight.lower_bound(NowMs));
    bool Silent = NowMs < Entry.SilentUntilMs;
    // Views arrive a few rounds late.
    if (!Silent && (Entry.ViewReceivedMs == 0 || Random() % 3 == 0)) {
      Entry.ViewReceivedMs = NowMs;
      Entry.Status.ViewIndex = State.viewIndex();
      for (const auto &[Name, Host] : State.hosts())
        Entry.View[Name] = Host.State;
    }
    bool IsServing = Entry.ViewReceivedMs != 0 &&
                     NowMs - Entry.ViewReceivedMs <= ServeWithoutControlMs;
    if (IsServing && !Entry.View.empty()) {
      auto Chosen = Entry.View.begin();
      std::advance(Chosen, std::ptrdiff_t(Random() % Entry.View.size()));
      if (Chosen->second == fleet::host_state::InService)
        InFlight.emplace(NowMs + std::int64_t(Random() % MaxRequestMs),
                         Chosen->first);
    }
    if (Silent)
      continue;
    Entry.Status.LastReportAt = timeOf(NowMs);
    Entry.Status.HasReported = true;
    Entry.Status.InFlightByHost.clear();
    for (const auto &[End, Host] : InFlight)
      ++Entry.Status.InFlightByHost[Host];
    Entry.Status.BusySlotsByService.clear();
    // One entry reports all slots, so that silence of the others does not
    // change the demand.
    if (Number == 0)
      Entry.Status.BusySlotsByService = BusySlots;
  }
}

bool fleet_run::isServedByEntries(const std::string &Host) const {
  return std::any_of(Entries.begin(), Entries.end(), [&](const auto &Entry) {
    return std::any_of(Entry.InFlight.begin(), Entry.InFlight.end(),
                       [&](const auto &Request) {
                         return Request.second == Host && Request.first > NowMs;
                       });
  });
}

void fleet_run::deliverOrders() {
  auto Late = std::stable_partition(
      Delayed.begin(), Delayed.end(),
      [&](const delayed_order &Order) { return Order.AtMs > NowMs; });
  std::vector<delayed_order> Due(std::make_move_iterator(Late),
                                 std::make_move_iterator(Delayed.end()));
  Delayed.erase(Late, Delayed.end());
  for (const auto &Order : Due)
    // Failures are expected: the host may be down or the epoch outdated.
    (void)core::captureFailure(
        [&] { return Platform.execute(Order.Order, NowMs); });
}

void fleet_run::checkPlatform() {
  std::map<std::uint64_t, std::string> LiveTasks;
  NewestReports = Platform.report(NowMs);
  for (const auto &Report : NewestReports) {
    auto Found = State.hosts().find(Report.Host);
    if (Found == State.hosts().end())
      continue;
    const auto &Host = Found->second;
    for (const auto &Task : Report.Tasks) {
      if (Task.State != fleet::job_state::Running)
        continue;
      auto [Known, Added] = LiveTasks.emplace(Task.Job, Report.Host);
      recordViolationIf(!Added, "job " + std::to_string(Task.Job) +
                                    " runs on " + Known->second + " and " +
                                    Report.Host);
    }
    bool MayDiffer = Host.State == fleet::host_state::Moving ||
                     Host.State == fleet::host_state::Failed ||
                     Host.State == fleet::host_state::SetAside ||
                     Host.State == fleet::host_state::Returning;
    recordViolationIf(Report.Pool != Host.Pool && !MayDiffer,
                      Report.Host + " is in pool " + Host.Pool +
                          ", the platform has " + Report.Pool);
    auto &Before = PoolOnPlatform[Report.Host];
    if (Before != Report.Pool) {
      ++Moves;
      Before = Report.Pool;
    }
  }
}

void fleet_run::checkExecuted() {
  const auto &Executed = Platform.executed();
  auto Count = Platform.executedCount() - CheckedOrders;
  CheckedOrders = Platform.executedCount();
  for (auto Entry = Executed.end() - std::ptrdiff_t(Count);
       Entry != Executed.end(); ++Entry) {
    const auto &Order = Entry->Order;
    auto &Newest = NewestEpoch[Order.Host];
    recordViolationIf(Order.Epoch < Newest,
                      "an order under an old epoch was executed on " +
                          Order.Host);
    Newest = std::max(Newest, Order.Epoch);
    bool Stops = Order.Kind == platform::order_kind::Reboot ||
                 Order.Kind == platform::order_kind::Move;
    if (Order.Kind == platform::order_kind::Reboot)
      ++Reboots[Order.Host];
    if (!Stops)
      continue;
    recordViolationIf(HostsEverLost.count(Order.Host) == 0 &&
                          isServedByEntries(Order.Host),
                      Order.Host + " was stopped with requests in flight");
    // The tasks of a lost host have ended, and its jobs stay bound until their
    // leases expire.
    bool Bound = std::any_of(
        State.jobs().begin(), State.jobs().end(), [&](const auto &Job) {
          return Job.second.Host == Order.Host &&
                 (Job.second.State == fleet::job_state::Starting ||
                  Job.second.State == fleet::job_state::Running);
        });
    recordViolationIf(Bound && HostsEverLost.count(Order.Host) == 0,
                      Order.Host + " was stopped while a job was bound to it");
  }
}

bool fleet_run::allInService() const {
  return std::all_of(
      State.hosts().begin(), State.hosts().end(), [](const auto &Entry) {
        return Entry.second.State == fleet::host_state::InService;
      });
}

std::string fleet_run::dump() const {
  std::string Text = "now " + std::to_string(NowMs);
  for (const auto &[Id, Wave] : State.waves())
    Text += "\nwave " + std::to_string(Id) + " state " +
            std::to_string(int(Wave.State)) + " done " +
            std::to_string(Wave.Done) + "/" + std::to_string(Wave.Total) +
            " failures " + std::to_string(Wave.Failures);
  for (const auto &Pool : State.pools())
    Text += "\npool " + Pool.Name + " available " +
            std::to_string(Pool.Available) + " minimum " +
            std::to_string(Pool.Minimum);
  for (const auto &[Name, Host] : State.hosts())
    if (Host.State != fleet::host_state::InService ||
        Host.Goal != fleet::host_goal::None)
      Text += "\nhost " + Name + " " +
              std::string(fleet::toString(Host.State)) + " epoch " +
              std::to_string(Host.Epoch) + " pool " + Host.Pool + " goal " +
              std::to_string(int(Host.Goal)) + " target " + Host.TargetPool;
  for (const auto &[Id, Job] : State.jobs())
    if (fleet::holdsLease(Job.State))
      Text += "\njob " + std::to_string(Id) + " " +
              std::string(fleet::toString(Job.State)) + " host " + Job.Host +
              " lease " + std::to_string(Job.Lease) + " until " +
              std::to_string(Job.LeaseUntilMs) +
              (Job.CancelRequested ? " cancel requested" : "");
  for (const auto &Report : NewestReports)
    for (const auto &Task : Report.Tasks)
      Text += "\ntask " + std::to_string(Task.Job) + " host " + Report.Host +
              " lease " + std::to_string(Task.Lease) + " state " +
              std::string(fleet::toString(Task.State)) + " epoch " +
              std::to_string(Report.Epoch);
  for (const auto &[Reason, Count] : RefusalReasons)
    Text += "\nrefused " + std::to_string(Count) + ": " + Reason;
  return Text;
}

} // namespace lycheetrestle::testing
