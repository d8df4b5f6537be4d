#include "core/metrics.h"

#include <catch2/catch.hpp>

using namespace lycheetrestle::core;

TEST_CASE("expose writes counters, gauges and summaries") {
  metrics_registry Registry;
  Registry.add("requests_total{verdict=\"ran\"}", 2);
  Registry.add("requests_total{verdict=\"not-run\"}");
  Registry.set("queue_length", 3);
  for (int I = 1; I <= 1000; ++I)
    Registry.observe("latency_ms{class=\"urgent\"}", I);
  auto Text = Registry.expose();
  CHECK(Text.find("# TYPE lycheetrestle_requests_total counter\n") !=
        std::string::npos);
  CHECK(Text.find("lycheetrestle_requests_total{verdict=\"ran\"} 2\n") !=
        std::string::npos);
  CHECK(Text.find("lycheetrestle_queue_length 3\n") != std::string::npos);
  CHECK(Text.find("lycheetrestle_latency_ms_count{class=\"urgent\"} 1000\n") !=
        std::string::npos);
  // One TYPE line per name, or scrapers reject the output.
  CHECK(Text.find("# TYPE lycheetrestle_requests_total",
                  Text.find("requests_total") + 20) == std::string::npos);
}

TEST_CASE("quantiles are close to the true ones") {
  summary Summary;
  for (int I = 0; I < 10000; ++I)
    Summary.observe((I * 7919) % 10000);
  CHECK(Summary.median() == Approx(5000).epsilon(0.05));
  CHECK(Summary.percentile99() == Approx(9900).epsilon(0.02));
  CHECK(Summary.maximum() == 9999);
}
