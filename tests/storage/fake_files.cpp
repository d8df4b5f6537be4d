#include "tests/storage/fake_files.h"

#include <algorithm>

namespace lycheetrestle::storage::test {

namespace {

constexpr char Clean = 0;
constexpr char Dirty = 1;
/// A failed sync dropped the page: readable, but no later sync writes it.
constexpr char Lost = 2;

boost::leaf::error_id
failIo(std::string_view Name,
       core::error_code Code = core::error_code::IoError) {
  return core::fail({Code, "injected failure on " + std::string(Name),
                     std::string(Name), "", core::verdict::NotRun});
}

} // namespace

std::uint64_t fake_disk::random(std::uint64_t Limit) {
  return std::uniform_int_distribution<std::uint64_t>(0, Limit - 1)(Random);
}

core::result<void> fake_disk::run(operation Operation, std::string_view Name,
                                  const std::function<void()> &Effect,
                                  const std::function<void()> &PartialEffect) {
  if (Crashed)
    return failIo(Name);
  // Pages may reach the disk at any time without a sync.
  if (!Cached.empty() && random(8) == 0)
    writeBack(*std::next(Cached.begin(), random(Cached.size()))->second);
  auto Fault = Plan ? Plan(Operation, Name) : fault::None;
  bool IsPartial = Fault == fault::FailPartly || Fault == fault::CrashPartly;
  if (IsPartial && PartialEffect)
    PartialEffect();
  if (Fault == fault::None || Fault == fault::FailAfter ||
      Fault == fault::CrashAfter)
    Effect();
  if (Fault == fault::CrashBefore || Fault == fault::CrashPartly ||
      Fault == fault::CrashAfter)
    Crashed = true;
  if (Fault != fault::None)
    return failIo(Name);
  return {};
}

core::result<std::vector<std::string>> fake_disk::list() {
  std::vector<std::string> Names;
  BOOST_LEAF_CHECK(run(operation::List, "", [&] {
    for (const auto &[Name, File] : Cached)
      Names.push_back(Name);
  }));
  return Names;
}

core::result<std::string> fake_disk::read(std::string_view Name) {
  auto Found = Cached.find(Name);
  if (Found == Cached.end())
    return failIo(Name);
  std::string Bytes;
  BOOST_LEAF_CHECK(
      run(operation::Read, Name, [&] { Bytes = Found->second->Cached; }));
  return Bytes;
}

core::result<void> fake_disk::append(std::string_view Name,
                                     std::string_view Bytes) {
  auto Write = [&](std::uint64_t Size) {
    auto Found = Cached.find(Name);
    if (Found == Cached.end()) {
      auto File = std::make_shared<file>();
      changeNames({{{std::string(Name), File}}});
      Found = Cached.find(Name);
    }
    auto &File = *Found->second;
    File.Cached += Bytes.substr(0, Size);
    File.ByteStates.resize(File.Cached.size(), File.Broken ? Lost : Dirty);
  };
  if (Crashed)
    return failIo(Name);
  auto Used = usedBytes();
  auto FreeBytes = Used < Capacity ? Capacity - Used : 0;
  if (Bytes.size() > FreeBytes) {
    Write(FreeBytes);
    return failIo(Name, core::error_code::Overloaded);
  }
  return run(
      operation::Append, Name, [&] { Write(Bytes.size()); },
      [&] { Write(random(Bytes.size() + 1)); });
}

core::result<void> fake_disk::truncate(std::string_view Name,
                                       std::uint64_t Size) {
  auto Found = Cached.find(Name);
  if (Found == Cached.end())
    return failIo(Name);
  return run(operation::Truncate, Name, [&] {
    Found->second->Cached.resize(Size);
    Found->second->ByteStates.resize(Size, Dirty);
  });
}

core::result<void> fake_disk::sync(std::string_view Name) {
  auto Found = Cached.find(Name);
  if (Found == Cached.end())
    return failIo(Name);
  auto &File = *Found->second;
  bool Done = false;
  auto Result = run(operation::Sync, Name, [&] {
    writeBack(File);
    Done = true;
  });
  if (!Result && !Done && !Crashed) {
    std::replace(File.ByteStates.begin(), File.ByteStates.end(), Dirty, Lost);
    File.Broken = true;
  }
  return Result;
}

core::result<void> fake_disk::rename(std::string_view From,
                                     std::string_view To) {
  auto Found = Cached.find(From);
  if (Found == Cached.end())
    return failIo(From);
  return run(operation::Rename, From, [&] {
    changeNames(
        {{{std::string(To), Found->second}, {std::string(From), nullptr}}});
  });
}

core::result<void> fake_disk::remove(std::string_view Name) {
  return run(operation::Remove, Name, [&] {
    if (Cached.find(Name) != Cached.end())
      changeNames({{{std::string(Name), nullptr}}});
  });
}

core::result<void> fake_disk::syncFolder() {
  return run(operation::SyncFolder, "", [&] {
    Durable = Cached;
    Pending.clear();
  });
}

void fake_disk::changeNames(name_change Change) {
  applyNames(Cached, Change);
  Pending.push_back(std::move(Change));
}

void fake_disk::applyNames(name_table &Table, const name_change &Change) {
  for (const auto &[Name, File] : Change.Names)
    if (File)
      Table[Name] = File;
    else
      Table.erase(Name);
}

void fake_disk::writeBack(file &File) {
  File.Durable.resize(File.Cached.size(), '\0');
  for (std::size_t I = 0; I < File.Cached.size(); ++I)
    if (File.ByteStates[I] == Dirty) {
      File.Durable[I] = File.Cached[I];
      File.ByteStates[I] = Clean;
    }
}

void fake_disk::cutPower(file &File) {
  auto Short = std::min(File.Cached.size(), File.Durable.size());
  auto Long = std::max(File.Cached.size(), File.Durable.size());
  std::uint64_t Size = random(3) == 0   ? File.Durable.size()
                       : random(2) == 0 ? File.Cached.size()
                                        : Short + random(Long - Short + 1);
  std::string After = File.Durable;
  After.resize(Size, '\0');
  // Each block is written, lost or replaced by garbage.
  constexpr std::size_t Block = 32;
  for (std::size_t At = 0; At < Size; At += Block) {
    auto Choice = random(8);
    for (std::size_t I = At; I < std::min(At + Block, Size); ++I) {
      if (I >= File.Cached.size() || File.ByteStates[I] != Dirty)
        continue;
      if (Choice < 5)
        After[I] = File.Cached[I];
      else if (Choice == 5)
        After[I] = static_cast<char>(random(256));
    }
  }
  File.Cached = File.Durable = After;
  File.ByteStates.assign(After.size(), Clean);
  File.Broken = false;
}

void fake_disk::cutPower() {
  if (random(2) == 0) {
    auto Applied = random(Pending.size() + 1);
    for (std::size_t I = 0; I < Applied; ++I)
      applyNames(Durable, Pending[I]);
  } else {
    for (const auto &Change : Pending)
      if (random(2) == 0)
        applyNames(Durable, Change);
  }
  Pending.clear();
  Cached = Durable;
  for (auto &[Name, File] : Cached)
    cutPower(*File);
}

std::uint64_t fake_disk::usedBytes() const {
  std::uint64_t Sum = 0;
  for (const auto &[Name, File] : Cached)
    Sum += File->Cached.size();
  return Sum;
}

std::map<std::string, std::string> fake_disk::contents() const {
  std::map<std::string, std::string> Contents;
  for (const auto &[Name, File] : Cached)
    Contents[Name] = File->Cached;
  return Contents;
}

void fake_disk::restore(const std::map<std::string, std::string> &Contents) {
  Cached.clear();
  Pending.clear();
  for (const auto &[Name, Bytes] : Contents)
    Cached[Name] = std::make_shared<file>(
        file{Bytes, Bytes, std::string(Bytes.size(), Clean), false});
  Durable = Cached;
}

} // namespace lycheetrestle::storage::test
