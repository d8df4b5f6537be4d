#include "ctl/printable.h"

#include <algorithm>

namespace lycheetrestle::ctl {

std::string printable(std::string_view Text) {
  std::string Result(Text);
  std::replace_if(
      Result.begin(), Result.end(),
      [](unsigned char C) { return C < 0x20 || C == 0x7f; }, '?');
  return Result;
}

} // namespace lycheetrestle::ctl
