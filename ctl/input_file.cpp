#include "ctl/input_file.h"

#include <fstream>
#include <iostream>

namespace lycheetrestle::ctl {

namespace {

core::result<std::string> readStream(std::istream &In, const std::string &Path,
                                     std::size_t MaxBytes) {
  // Reads one byte more than allowed, to detect input that is too large.
  std::string Text(MaxBytes + 1, '\0');
  In.read(Text.data(), static_cast<std::streamsize>(Text.size()));
  if (In.bad())
    return core::fail({core::error_code::IoError, "the file cannot be read",
                       "FILE", Path, core::verdict::NotRun});
  Text.resize(static_cast<std::size_t>(In.gcount()));
  if (Text.size() > MaxBytes)
    return core::fail(
        {core::error_code::TooLarge,
         "the file must have at most " + std::to_string(MaxBytes) + " bytes",
         "FILE", Path, core::verdict::NotRun});
  return Text;
}

} // namespace

core::result<std::string> readInput(const std::string &Path,
                                    std::size_t MaxBytes) {
  if (Path == "-")
    return readStream(std::cin, Path, MaxBytes);
  std::ifstream File(Path, std::ios::binary);
  if (!File)
    return core::fail({core::error_code::IoError, "the file cannot be opened",
                       "FILE", Path, core::verdict::NotRun});
  return readStream(File, Path, MaxBytes);
}

} // namespace lycheetrestle::ctl
