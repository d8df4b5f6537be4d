#ifndef LYCHEETRESTLE_CTL_REPORT_H
#define LYCHEETRESTLE_CTL_REPORT_H

#include <iosfwd>
#include <string_view>

namespace lycheetrestle::ctl {

/// Writes a JSON reply for people: single values as a list of names and values,
/// arrays of objects as tables, nested objects under names with dots, and wall
/// times (members that end in `_ms`) as UTC.
/// \param Body the reply; text that is not JSON is written unchanged but for
/// control characters.
void writeReport(std::ostream &Out, std::string_view Body);

/// Writes a JSON reply indented, for programs.
void writeJson(std::ostream &Out, std::string_view Body);

} // namespace lycheetrestle::ctl

#endif
