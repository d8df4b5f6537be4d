#ifndef LYCHEETRESTLE_CTL_INPUT_FILE_H
#define LYCHEETRESTLE_CTL_INPUT_FILE_H

#include "core/failure.h"

#include <cstddef>
#include <string>

namespace lycheetrestle::ctl {

/// Reads a whole file.
/// \param Path its path, or `-` for standard input.
/// \param MaxBytes the largest accepted size in bytes.
/// \returns the contents, or IoError or TooLarge.
core::result<std::string> readInput(const std::string &Path,
                                    std::size_t MaxBytes);

} // namespace lycheetrestle::ctl

#endif
