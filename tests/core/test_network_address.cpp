#include "core/network_address.h"

#include <catch2/catch.hpp>

#include <string>

using namespace lycheetrestle::core;

TEST_CASE("an address is an IP address and a port of 1 to 65535") {
  auto Ipv4 = network_address::parse("10.0.0.1:8080");
  REQUIRE(Ipv4);
  CHECK(Ipv4->ip() == "10.0.0.1");
  CHECK(Ipv4->port() == 8080);
  CHECK(Ipv4->text() == "10.0.0.1:8080");
  auto Ipv6 = network_address::parse("[fd00::1]:65535");
  REQUIRE(Ipv6);
  CHECK(Ipv6->ip() == "fd00::1");
  CHECK(Ipv6->text() == "[fd00::1]:65535");
  CHECK(network_address::parse("10.0.0.1:080")->text() == "10.0.0.1:80");
}

// Guards against a text that becomes another host, path or header line in a
// URL.
TEST_CASE("any other text is no address") {
  for (std::string Text : {"",
                           ":",
                           ":80",
                           "10.0.0.1",
                           "10.0.0.1:",
                           "10.0.0.1:0",
                           "10.0.0.1:-1",
                           "10.0.0.1:+80",
                           "10.0.0.1: 80",
                           "10.0.0.1:65536",
                           "10.0.0.1:99999",
                           "10.0.0.1:18446744073709551617",
                           "10.0.0.1:80/path",
                           "10.0.0.1:80?q",
                           "10.0.0.1:80#f",
                           "user@10.0.0.1:80",
                           "user:word@10.0.0.1:80",
                           "http://10.0.0.1:80",
                           "localhost:80",
                           "10.0.0:80",
                           "10.0.0.256:80",
                           "010.0.0.1:80",
                           "0x0a.0.0.1:80",
                           "10.0.0.1\r\nX: 1:80",
                           "10.0.0.1:80\r\nX: 1",
                           "10.0.0.1:80\n",
                           " 10.0.0.1:80",
                           "::1:80",
                           "[]:80",
                           "[::1]",
                           "[10.0.0.1]:80",
                           "[::1%lo]:80",
                           "[::1]]:80"}) {
    INFO(Text);
    CHECK(!network_address::parse(Text));
  }
  CHECK(!network_address::parse(std::string("10.0.0.1\0:80", 12)));
  CHECK(!network_address::parse(std::string("10.0.0.1:80\0", 12)));
  CHECK(!network_address::parse(std::string(100'000, '1') + ":80"));
  CHECK(!network_address::parse("10.0.0.1:" + std::string(100'000, '9')));
}

TEST_CASE("an address that no single host has is not unicast") {
  for (const char *Text : {"10.0.0.1:80", "127.0.0.1:80", "223.1.1.1:80",
                           "[::1]:80", "[::ffff:10.0.0.1]:80"}) {
    INFO(Text);
    CHECK(network_address::parse(Text)->isUnicast());
  }
  for (const char *Text : {"0.0.0.0:80", "224.0.0.1:80", "255.255.255.255:80",
                           "[::]:80", "[ff02::1]:80", "[::ffff:0.0.0.0]:80"}) {
    INFO(Text);
    CHECK(!network_address::parse(Text)->isUnicast());
  }
}
