#ifndef LYCHEETRESTLE_CTL_REPORT_H
#define LYCHEETRESTLE_CTL_REPORT_H

#include <iosfwd>
#include <string_view>

namespace lycheetrestle::ctl {

/// Writes a JSON reply in human-readable form: single values as a list of names
/// and values, arrays of objects as tables, nested objects under dotted names
/// and wall-clock times as UTC.
/// \param Out receives the text.
/// \param Body the reply; text that is not JSON is written as it is, with
/// control characters replaced.
void writeReport(std::ostream &Out, std::string_view Body);

/// Writes a JSON reply as indented JSON, for scripts. Text that is not JSON is
/// written unchanged.
void writeJson(std::ostream &Out, std::string_view Body);

} // namespace lycheetrestle::ctl

#endif
