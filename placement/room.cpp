#include "placement/room.h"

#include <algorithm>

namespace lycheetrestle::placement {

amount &amount::operator+=(const amount &Other) {
  Cores += Other.Cores;
  MemoryMb += Other.MemoryMb;
  Accelerators += Other.Accelerators;
  return *this;
}

amount &amount::operator-=(const amount &Other) {
  Cores -= Other.Cores;
  MemoryMb -= Other.MemoryMb;
  Accelerators -= Other.Accelerators;
  return *this;
}

bool amount::fitsIn(const amount &Other) const {
  return Cores <= Other.Cores && MemoryMb <= Other.MemoryMb &&
         Accelerators <= Other.Accelerators;
}

amount worker_room::freeSoon() const {
  auto Sum = Free;
  Sum += Coming;
  return Sum;
}

void worker_room::hold(const amount &Size) {
  auto Rest = freeSoon();
  Rest -= Size;
  Free.Cores = std::min(Free.Cores, Rest.Cores);
  Free.MemoryMb = std::min(Free.MemoryMb, Rest.MemoryMb);
  Free.Accelerators = std::min(Free.Accelerators, Rest.Accelerators);
  Coming = Rest;
  Coming -= Free;
}

room_map::room_map(std::span<const worker_view> Workers) {
  Rooms.reserve(Workers.size());
  ByHost.reserve(Workers.size());
  for (const auto &Worker : Workers) {
    worker_room Room;
    Room.Worker = &Worker;
    Room.Free = amount(Worker.Size);
    Rooms.push_back(std::move(Room));
    auto &Sizes = SizesByPool[Worker.Pool];
    if (std::find(Sizes.begin(), Sizes.end(), Worker.Size) == Sizes.end())
      Sizes.push_back(Worker.Size);
  }
  for (auto &Room : Rooms) {
    ByHost[Room.Worker->Host] = &Room;
    ByPool[Room.Worker->Pool].push_back(&Room);
  }
}

worker_room *room_map::find(std::string_view Host) {
  auto Found = ByHost.find(Host);
  return Found == ByHost.end() ? nullptr : Found->second;
}

std::vector<worker_room *> &room_map::poolRooms(std::string_view Pool) {
  return ByPool[Pool];
}

bool room_map::couldEverFit(std::string_view Pool,
                            const fleet::resources &Size) const {
  auto Found = SizesByPool.find(Pool);
  // An empty pool may get workers later.
  if (Found == SizesByPool.end())
    return true;
  return std::any_of(Found->second.begin(), Found->second.end(),
                     [&](const fleet::resources &Worker) {
                       return amount(Size).fitsIn(amount(Worker));
                     });
}

quota_book::quota_book(std::span<const fleet::team_spec> Teams) {
  for (const auto &Team : Teams)
    Accounts[Team.Name] = {amount(Team.Quota), amount(Team.Quota)};
}

void quota_book::charge(std::string_view Team, const fleet::resources &Size) {
  if (auto Found = Accounts.find(Team); Found != Accounts.end())
    Found->second.Left -= amount(Size);
}

bool quota_book::allows(std::string_view Team,
                        const fleet::resources &Size) const {
  auto Found = Accounts.find(Team);
  return Found != Accounts.end() && amount(Size).fitsIn(Found->second.Left);
}

bool quota_book::couldEverAllow(std::string_view Team,
                                const fleet::resources &Size) const {
  auto Found = Accounts.find(Team);
  return Found != Accounts.end() && amount(Size).fitsIn(Found->second.Total);
}

bool isBound(const fleet::job_record &Job) {
  return Job.State == fleet::job_state::Starting ||
         Job.State == fleet::job_state::Running;
}

bool isExpired(const fleet::job_record &Job, std::int64_t NowMs,
               const placer_settings &Settings) {
  return NowMs >= Job.LeaseUntilMs + Settings.LeaseMarginMs;
}

} // namespace lycheetrestle::placement
