// Compares three policies to share the executor slots of a service among 12
// entries: the slot broker, local choice by each entry, and one FIFO queue as
// the baseline. Each of 5 services peaks for 10 s at five times its mean, by
// default above its capacity. Prints the urgent requests in time, goodput
// during and after the peak, refusals, retries and the longest queue.
#include "routing/retry_budget.h"
#include "routing/slot_broker.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <cstdio>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>

DEFINE_uint32(seeds, 30, "number of seeds");
DEFINE_uint32(first_seed, 1, "first seed");
DEFINE_double(mean_load, 0.3, "mean demand as a share of the slots");

namespace {

using namespace lycheetrestle;
using namespace lycheetrestle::routing;
using namespace std::chrono_literals;
using core::duration;
using core::time_point;
using fleet::work_class;

constexpr int Services = 5;
constexpr int Entries = 12;
constexpr std::uint32_t Executors = 10;
constexpr std::uint32_t Slots = 8;
constexpr double MeanServiceMs = 50;
constexpr duration Hop = 1400us;         // Between zones, one way.
constexpr duration EndpointHop = 1000us; // Entry to endpoint, one way.
constexpr duration WarmUp = 2s;
constexpr duration Peak = 10s;
constexpr duration CoolDown = 5s;
constexpr double PeakFactor = 5;    // Of the mean rate.
constexpr double QuietDivisor = 20; // Of the mean rate, outside the peak.
constexpr duration BrokerUpdateInterval = 10ms;
constexpr duration ExpiryInterval = 10ms;
constexpr duration ReportInterval = 1s; // Of executors to entries.
constexpr int MaxRetries = 2;
constexpr double RetryShare = 0.1;

struct call {
  std::uint64_t Id = 0;
  std::size_t Entry = 0;
  work_class Class = work_class::Normal;
  duration TimeAllowed{};
  time_point Deadline;
  int Retries = 0;
  bool IsDone = false;
};
using call_pointer = std::shared_ptr<call>;

struct totals {
  std::uint64_t Urgent = 0, UrgentMet = 0, Calls = 0;
  std::uint64_t MetInPeak = 0, MetAfterPeak = 0;
  std::uint64_t RefusedAtEndpoint = 0, Refused = 0, Retries = 0;
  std::size_t MaxQueueLength = 0;
};

/// One peak of one service on a virtual clock.
class peak_run {
public:
  peak_run(std::uint64_t Seed, totals &Totals)
      : Totals(Totals), Random(Seed), Active(Executors) {}
  virtual ~peak_run() = default;

  void run() {
    begin();
    scheduleNextArrival();
    while (!Events.empty() && Events.top().Time <= end()) {
      auto Next = Events.top();
      Events.pop();
      Now = Next.Time;
      Next.Run();
    }
  }

protected:
  virtual void begin() {}
  virtual void arrive(const call_pointer &Call) = 0;

  void after(duration Delay, std::function<void()> Run) {
    Events.push({Now + Delay, ++LastEvent, std::move(Run)});
  }
  time_point now() const { return Now; }
  std::uint64_t drawBelow(std::uint64_t Bound) { return Random() % Bound; }
  /// Starts a call at an executor.
  /// \param OnEnd called at the entry; its argument is false when the executor
  /// had no free slot.
  void execute(std::size_t Executor, std::function<void(bool)> OnEnd) {
    after(EndpointHop, [this, Executor, OnEnd = std::move(OnEnd)] {
      if (Active[Executor] >= Slots) {
        ++Totals.RefusedAtEndpoint;
        return after(EndpointHop, [OnEnd] { OnEnd(false); });
      }
      ++Active[Executor];
      after(serviceTime(), [this, Executor, OnEnd] {
        --Active[Executor];
        after(EndpointHop, [OnEnd] { OnEnd(true); });
      });
    });
  }
  void finish(const call_pointer &Call, bool HasResponse) {
    if (std::exchange(Call->IsDone, true))
      return;
    if (!HasResponse) {
      ++Totals.Refused;
      return;
    }
    if (Now > Call->Deadline)
      return;
    Totals.UrgentMet += Call->Class == work_class::Urgent ? 1 : 0;
    if (Now >= start() && Now < stop())
      ++Totals.MetInPeak;
    else if (Now >= stop())
      ++Totals.MetAfterPeak;
  }
  void recordQueueLength(std::size_t Length) {
    Totals.MaxQueueLength = std::max(Totals.MaxQueueLength, Length);
  }
  const std::vector<std::uint32_t> &active() const { return Active; }

  totals &Totals;

private:
  struct event {
    time_point Time;
    std::uint64_t Order;
    std::function<void()> Run;
    bool operator<(const event &Other) const {
      return std::pair(Time, Order) > std::pair(Other.Time, Other.Order);
    }
  };
  static time_point start() { return time_point(WarmUp); }
  static time_point stop() { return start() + Peak; }
  static time_point end() { return stop() + CoolDown; }

  duration serviceTime() {
    constexpr double Sigma = 0.5;
    std::lognormal_distribution<> Times(
        std::log(MeanServiceMs) - Sigma * Sigma / 2, Sigma);
    return duration(static_cast<std::int64_t>(Times(Random) * 1000));
  }
  void scheduleNextArrival() {
    double Mean = FLAGS_mean_load * Executors * Slots * 1000 / MeanServiceMs;
    bool IsPeak = Now >= start() && Now < stop();
    double Rate = IsPeak ? Mean * PeakFactor : Mean / QuietDivisor;
    duration Gap(static_cast<std::int64_t>(
        std::exponential_distribution<>(Rate)(Random) * 1e6));
    // A long gap before the peak must not delay its start.
    if (!IsPeak && Now < start() && Now + Gap > start())
      Gap = start() - Now;
    after(Gap, [this] {
      auto Call = std::make_shared<call>();
      Call->Id = ++LastCall;
      Call->Entry = drawBelow(Entries);
      auto Kind = drawBelow(10);
      Call->Class = Kind < 3   ? work_class::Urgent
                    : Kind < 8 ? work_class::Normal
                               : work_class::Batch;
      Call->TimeAllowed = Kind < 3 ? duration(500ms) : Kind < 8 ? 2s : 10s;
      Call->Deadline = Now + Call->TimeAllowed;
      ++Totals.Calls;
      Totals.Urgent += Call->Class == work_class::Urgent ? 1 : 0;
      arrive(Call);
      scheduleNextArrival();
    });
  }

  std::mt19937_64 Random;
  std::priority_queue<event> Events;
  time_point Now{};
  std::uint64_t LastEvent = 0;
  std::uint64_t LastCall = 0;
  std::vector<std::uint32_t> Active;
};

/// All executors are always eligible.
class all_executors final : public endpoint_source {
public:
  std::vector<endpoint_slots> eligible(std::string_view,
                                       time_point) const override {
    std::vector<endpoint_slots> List;
    for (std::uint32_t Index = 0; Index < Executors; ++Index)
      List.push_back({std::to_string(Index), Slots});
    return List;
  }
};

/// Slots granted by the broker, with the retries of the entries.
class broker_run final : public peak_run {
public:
  using peak_run::peak_run;

private:
  void begin() override { update(); }
  void update() {
    Broker.update(now());
    sendReplies();
    after(BrokerUpdateInterval, [this] { update(); });
  }
  // The broker runs in entry 0.
  static duration hopDelay(std::size_t Entry) { return Entry == 0 ? 0us : Hop; }

  void arrive(const call_pointer &Call) override {
    Budget.recordRequest(now());
    requestSlot(Call, {});
  }
  void requestSlot(const call_pointer &Call, std::vector<std::string> Avoid) {
    slot_request Request;
    Request.RequestId = ++LastRequest;
    Request.Service = "service";
    Request.Class = Call->Class;
    Request.DeadlineMs = static_cast<std::uint32_t>(
        std::max<std::int64_t>((Call->Deadline - now()) / 1ms, 0));
    Request.Avoid = std::move(Avoid);
    Waiting[Request.RequestId] = Call;
    after(hopDelay(Call->Entry), [this, Call, Request] {
      Broker.request(std::to_string(Call->Entry), Request, now());
      recordQueueLength(Broker.waiting());
      sendReplies();
    });
  }
  void sendReplies() {
    for (auto &Reply : Broker.takeReplies())
      after(hopDelay(std::stoul(Reply.Holder)),
            [this, Reply] { onReply(Reply); });
  }
  void onReply(const broker_reply &Reply) {
    if (auto *Refusal = std::get_if<slot_refusal>(&Reply.Message)) {
      finish(Waiting.extract(Refusal->RequestId).mapped(), false);
      return;
    }
    auto Grant = std::get<slot_grant>(Reply.Message);
    auto Call = Waiting.extract(Grant.RequestId).mapped();
    if (now() >= Call->Deadline) {
      release(Call, Grant, 0, false);
      return finish(Call, false);
    }
    auto Begin = now();
    auto IsReleased = std::make_shared<bool>(false);
    after(Call->Deadline - now(), [this, Call, Grant, IsReleased] {
      if (!std::exchange(*IsReleased, true))
        release(Call, Grant, 0, true);
    });
    execute(std::stoul(Grant.Endpoint), [=, this](bool Ran) {
      if (std::exchange(*IsReleased, true))
        return;
      auto Ms = static_cast<std::uint32_t>((now() - Begin) / 1ms);
      release(Call, Grant, Ran ? std::max(Ms, 1u) : 0, !Ran);
      if (Ran)
        return finish(Call, true);
      if (++Call->Retries > MaxRetries || !Budget.tryRetry(now()))
        return finish(Call, false);
      ++Totals.Retries;
      requestSlot(Call, {Grant.Endpoint});
    });
  }
  void release(const call_pointer &Call, const slot_grant &Grant,
               std::uint32_t Ms, bool Failed) {
    after(hopDelay(Call->Entry), [this, Grant, Ms, Failed] {
      Broker.release({"service", Grant.Endpoint, Grant.Token, Ms, Failed},
                     now());
      sendReplies();
    });
  }

  all_executors Source;
  slot_broker Broker{"service", {}, Source};
  retry_budget Budget{RetryShare};
  std::map<std::uint64_t, call_pointer> Waiting;
  std::uint64_t LastRequest = 0;
};

/// Each entry chooses executors by the load that they report every second and
/// by its own calls, and queues requests while no executor appears free.
class local_run final : public peak_run {
public:
  using peak_run::peak_run;

private:
  struct entry {
    request_queue Queue{{}};
    std::map<std::uint64_t, call_pointer> Calls;
    std::vector<std::uint32_t> OwnCalls = std::vector<std::uint32_t>(Executors);
    std::vector<std::uint32_t> OtherCalls =
        std::vector<std::uint32_t>(Executors);
  };

  void begin() override {
    for (std::size_t Executor = 0; Executor < Executors; ++Executor)
      after(duration(drawBelow(1000000)),
            [this, Executor] { report(Executor); });
    expire();
  }
  void report(std::size_t Executor) {
    auto Busy = active()[Executor];
    for (std::size_t Index = 0; Index < Entries; ++Index) {
      auto &Entry = List[Index];
      Entry.OtherCalls[Executor] =
          Busy - std::min(Busy, Entry.OwnCalls[Executor]);
      dispatchQueued(Index);
    }
    after(ReportInterval, [this, Executor] { report(Executor); });
  }
  void expire() {
    for (auto &Entry : List)
      for (const auto &Request : Entry.Queue.takeExpired(now()))
        finish(Entry.Calls.extract(Request.RequestId).mapped(), false);
    after(ExpiryInterval, [this] { expire(); });
  }
  void arrive(const call_pointer &Call) override {
    Budget.recordRequest(now());
    enqueue(Call);
  }
  void enqueue(const call_pointer &Call) {
    auto &Entry = List[Call->Entry];
    auto Reason = Entry.Queue.push(
        {"entry", Call->Id, 1, Call->Class, Call->Deadline, {}}, {}, now());
    if (!Reason.empty())
      return finish(Call, false);
    Entry.Calls[Call->Id] = Call;
    std::size_t Length = 0;
    for (const auto &Other : List)
      Length += Other.Queue.size();
    recordQueueLength(Length);
    dispatchQueued(Call->Entry);
  }
  void dispatchQueued(std::size_t Index) {
    auto &Entry = List[Index];
    while (true) {
      std::size_t Best = 0;
      auto Load = [&](std::size_t Executor) {
        return Entry.OwnCalls[Executor] + Entry.OtherCalls[Executor];
      };
      for (std::size_t Executor = 1; Executor < Executors; ++Executor)
        if (Load(Executor) < Load(Best))
          Best = Executor;
      if (Load(Best) >= Slots)
        return;
      auto Request =
          Entry.Queue.pop([](const waiting_request &) { return true; });
      if (!Request)
        return;
      dispatch(Index, Best, Entry.Calls.extract(Request->RequestId).mapped());
    }
  }
  void dispatch(std::size_t Index, std::size_t Executor,
                const call_pointer &Call) {
    ++List[Index].OwnCalls[Executor];
    execute(Executor, [=, this](bool Ran) {
      auto &Entry = List[Index];
      --Entry.OwnCalls[Executor];
      if (Ran) {
        finish(Call, true);
      } else {
        // Counts the executor as full until its next report.
        Entry.OtherCalls[Executor] =
            Slots - std::min(Slots, Entry.OwnCalls[Executor]);
        if (++Call->Retries <= MaxRetries && Budget.tryRetry(now())) {
          ++Totals.Retries;
          enqueue(Call);
        } else {
          finish(Call, false);
        }
      }
      dispatchQueued(Index);
    });
  }

  std::vector<entry> List = std::vector<entry>(Entries);
  retry_budget Budget{RetryShare};
};

/// Baseline: one queue without classes, bounds and expiry. A caller without a
/// response at its deadline resends the request with a new deadline.
class fifo_run final : public peak_run {
public:
  using peak_run::peak_run;

private:
  void arrive(const call_pointer &Call) override {
    Queue.push_back(Call);
    recordQueueLength(Queue.size());
    after(Call->Deadline - now(), [this, Call] {
      if (std::exchange(Call->IsDone, true))
        return;
      ++Totals.Retries;
      auto Again = std::make_shared<call>(*Call);
      Again->IsDone = false;
      // The first attempt of an urgent request has missed its deadline, so the
      // resend cannot count as urgent and in time.
      Again->Class = work_class::Normal;
      Again->Deadline = now() + Again->TimeAllowed;
      arrive(Again);
    });
    dispatchQueued();
  }
  void dispatchQueued() {
    while (!Queue.empty()) {
      auto Free = std::find_if(Busy.begin(), Busy.end(),
                               [](auto Count) { return Count < Slots; });
      if (Free == Busy.end())
        return;
      auto Executor = static_cast<std::size_t>(Free - Busy.begin());
      auto Call = Queue.front();
      Queue.pop_front();
      ++Busy[Executor];
      execute(Executor, [this, Executor, Call](bool Ran) {
        --Busy[Executor];
        finish(Call, Ran);
        dispatchQueued();
      });
    }
  }

  std::deque<call_pointer> Queue;
  std::vector<std::uint32_t> Busy = std::vector<std::uint32_t>(Executors);
};

template <typename Run> void measure(const char *Name) {
  totals Totals;
  for (std::uint32_t Seed = 0; Seed < FLAGS_seeds; ++Seed)
    for (int Service = 0; Service < Services; ++Service)
      Run((FLAGS_first_seed + Seed) * 1000ull + Service, Totals).run();
  double Peaks = double(FLAGS_seeds) * Services;
  auto Seconds = [](duration Time) {
    return std::chrono::duration<double>(Time).count();
  };
  std::printf("%-7s %9.1f %12.0f %12.0f %11.0f %10.0f %9.0f %11zu\n", Name,
              100.0 * double(Totals.UrgentMet) / double(Totals.Urgent),
              double(Totals.MetInPeak) / Peaks / Seconds(Peak),
              double(Totals.MetAfterPeak) / Peaks / Seconds(CoolDown),
              double(Totals.RefusedAtEndpoint) / Peaks,
              double(Totals.Refused) / Peaks, double(Totals.Retries) / Peaks,
              Totals.MaxQueueLength);
}

} // namespace

int main(int Count, char **Arguments) {
  gflags::ParseCommandLineFlags(&Count, &Arguments, true);
  std::printf("%d services, %u executors of %u slots each, %d entries; each "
              "service in turn at 5 times its mean of %.0f requests/s for 10 "
              "s, otherwise at a twentieth; %u seeds from %u. Capacity %.0f "
              "requests/s. Counts are for each peak.\n",
              Services, Executors, Slots, Entries,
              FLAGS_mean_load * Executors * Slots * 1000 / MeanServiceMs,
              FLAGS_seeds, FLAGS_first_seed,
              Executors * Slots * 1000 / MeanServiceMs);
  std::printf("%-7s %9s %12s %12s %11s %10s %9s %11s\n", "policy", "urgent %",
              "goodput/s in", "goodput/s 5s", "full at ep", "refused",
              "retries", "worst queue");
  measure<broker_run>("broker");
  measure<local_run>("local");
  measure<fifo_run>("fifo");
  return 0;
}
