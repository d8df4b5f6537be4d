#include "ctl/commands.h"

#include <exception>
#include <iostream>

int main(int Count, char **Values) {
  using namespace lycheetrestle::ctl;
  try {
    auto Line = readCommandLine({Values + 1, Values + Count});
    return static_cast<int>(runCommand(Line, std::cout, std::cerr));
  } catch (const std::exception &Exception) {
    std::cerr << "error: " << Exception.what() << '\n';
    return static_cast<int>(exit_code::Unknown);
  }
}
