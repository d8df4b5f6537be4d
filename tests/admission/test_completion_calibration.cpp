#include "admission/completion_calibration.h"

#include <catch2/catch.hpp>

using lycheetrestle::admission::completion_calibration;

TEST_CASE("without completions the predicted time counts in part") {
  completion_calibration Calibration;
  CHECK(Calibration.ratio() == 1);
  CHECK(Calibration.lowRatio() == completion_calibration::UnknownLowRatio);
  for (std::size_t Count = 0; Count + 1 != completion_calibration::MinCount;
       ++Count)
    Calibration.record(1000, 2000);
  CHECK(Calibration.ratio() == 1);
}

TEST_CASE("predictions that are too short by the same factor are corrected") {
  completion_calibration Calibration;
  for (int Count = 0; Count != 100; ++Count)
    Calibration.record(1000, 1500);
  CHECK(Calibration.ratio() == Approx(1.5));
  CHECK(Calibration.lowRatio() == Approx(1.5));
}

TEST_CASE("scattered completions widen the margin of a refusal") {
  completion_calibration Calibration;
  for (int Count = 0; Count != 200; ++Count)
    Calibration.record(1000, Count % 2 == 0 ? 500 : 2000);
  CHECK(Calibration.ratio() == Approx(1).margin(0.05));
  CHECK(Calibration.lowRatio() < 0.55);
}

TEST_CASE("no completion moves the ratios beyond their bounds") {
  completion_calibration Slow;
  completion_calibration Fast;
  for (int Count = 0; Count != 1000; ++Count) {
    Slow.record(1, 1e12);
    Fast.record(1e12, 1);
  }
  CHECK(Slow.ratio() == completion_calibration::MaxRatio);
  CHECK(Fast.ratio() == completion_calibration::MinRatio);
  CHECK(Fast.lowRatio() <= Fast.ratio());
}

TEST_CASE("times that are not positive are ignored") {
  completion_calibration Calibration;
  for (int Count = 0; Count != 100; ++Count) {
    Calibration.record(0, 1000);
    Calibration.record(1000, -1);
  }
  CHECK(Calibration.ratio() == 1);
}

TEST_CASE("the ratio follows a change of the load") {
  completion_calibration Calibration;
  for (int Count = 0; Count != 500; ++Count)
    Calibration.record(1000, 1800);
  for (int Count = 0; Count != 500; ++Count)
    Calibration.record(1000, 900);
  CHECK(Calibration.ratio() == Approx(0.9).margin(0.02));
}
