#ifndef LYCHEETRESTLE_CTL_REPLY_DOCUMENT_H
#define LYCHEETRESTLE_CTL_REPLY_DOCUMENT_H

#include <nlohmann/json.hpp>

#include <string_view>

namespace lycheetrestle::ctl {

/// Deepest nesting of a reply that is shown. Replies of control use 5 levels;
/// showing and copying a value recurses.
inline constexpr int MaxReplyDepth = 32;

/// Parses the body of a reply.
/// \tparam Document nlohmann::json or nlohmann::ordered_json.
/// \returns the document; a discarded value when the body is not JSON or nested
/// deeper than MaxReplyDepth.
template <typename Document = nlohmann::json>
Document parseReply(std::string_view Body) {
  bool IsTooDeep = false;
  auto CheckDepth = [&](int Depth, typename Document::parse_event_t,
                        Document &) {
    IsTooDeep = IsTooDeep || Depth > MaxReplyDepth;
    return Depth <= MaxReplyDepth;
  };
  auto Value = Document::parse(Body, CheckDepth, false);
  if (IsTooDeep)
    return Document(Document::value_t::discarded);
  return Value;
}

} // namespace lycheetrestle::ctl

#endif
