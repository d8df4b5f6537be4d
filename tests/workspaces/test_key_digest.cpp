#include "workspaces/key_digest.h"

#include <catch2/catch.hpp>

using namespace lycheetrestle::workspaces;

// Guards against two processes that compute different digests of a key.
TEST_CASE("the digest of a key is its SHA-256 in hexadecimal digits") {
  CHECK(digestOf("abc") == "ba7816bf8f01cfea414140de5dae2223"
                           "b00361a396177a9cb410ff61f20015ad");
  CHECK(digestOf("") == "");
  CHECK(digestOf("abc") != digestOf("abd"));
}
