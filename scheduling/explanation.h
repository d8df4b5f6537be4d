#ifndef LYCHEETRESTLE_SCHEDULING_EXPLANATION_H
#define LYCHEETRESTLE_SCHEDULING_EXPLANATION_H

#include "http/messages.h"
#include "scheduling/schedule_node.h"
#include "scheduling/site_adapter.h"

#include <cstdint>
#include <string_view>

namespace lycheetrestle::scheduling {

inline constexpr std::string_view ExplanationPath = "/v1/schedule/explain";

/// Answers `POST /v1/schedule/explain`: where the tasks of a job would start
/// now, and why. The body is a JSON object with `job`, the id of an accepted
/// job, or with `host`, `path`, `document` (text of the job) and optionally
/// `key_digest` for a job that is not submitted. Nothing is changed.
/// \param Adapter decodes the document.
/// \param ControlPort port on which the leader answers.
/// \returns 200 with the explanation, 400 for an invalid body, 404 for an
/// unknown job, 421 with `X-Leader` at a follower, or 503 without a leader.
http::response explain(schedule_node &Node, const http::request &Request,
                       const site_adapter &Adapter, std::uint16_t ControlPort,
                       core::time_point Now);

} // namespace lycheetrestle::scheduling

#endif
