// Catch2's main takes about 15 s to compile, so all test programs share it.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>
