#ifndef LYCHEETRESTLE_TESTS_STORAGE_STORE_MODEL_H
#define LYCHEETRESTLE_TESTS_STORAGE_STORE_MODEL_H

#include "core/failure.h"
#include "replication/types.h"

#include <catch2/catch.hpp>

#include <random>
#include <utility>

namespace lycheetrestle::storage::test {

/// \returns the value, or fails the test with the message of the failure.
template <typename Callable> auto must(Callable &&Function) {
  auto Outcome = core::capture(Function);
  if (auto *Failure = std::get_if<1>(&Outcome))
    FAIL(Failure->Message);
  return std::get<0>(std::move(Outcome));
}

template <typename Callable> void mustSucceed(Callable &&Function) {
  if (auto Failure = core::captureFailure(Function))
    FAIL(Failure->Message);
}

bool isSame(const replication::persistent_state &Left,
            const replication::persistent_state &Right);

/// \returns what a correct store holds after the write.
replication::persistent_state
applyWrite(replication::persistent_state State,
           const replication::storage_write &Write);

/// \returns a write that a correct store accepts in this state.
replication::storage_write
randomWrite(const replication::persistent_state &State,
            std::mt19937_64 &Random);

/// \returns a write that appends entries after the last one.
replication::storage_write
appendWrite(const replication::persistent_state &State, std::size_t Count,
            std::size_t PayloadBytes);

} // namespace lycheetrestle::storage::test

#endif
