#ifndef LYCHEETRESTLE_HTTP_BOUNDED_PARSER_H
#define LYCHEETRESTLE_HTTP_BOUNDED_PARSER_H

#include "http/connection_budget.h"

#include <restinio/all.hpp>

#include <climits>
#include <cstddef>

namespace lycheetrestle::http {

/// Selects the parser callbacks below as `http_methods_mapper_t` of the traits
/// of a RESTinio server. They differ from those of RESTinio in three ways:
/// - They keep no record of each chunk. RESTinio keeps 48 bytes for each, so
///   that a body in chunks of one byte takes ten times its size.
/// - A body over the limit ends the request where that is known: at its head if
///   the size is announced. RESTinio closes the connection without a response.
///   The handler must refuse a request with isTooLarge().
/// - They limit the size of the head.
struct bounded_http_methods : public restinio::default_http_methods_t {};

/// Marks a request whose body exceeds the limit. No client can send this name,
/// because a field name must not contain a colon.
inline constexpr const char *TooLargeField = ":too-large";

/// \returns whether the body exceeded the limit; it is then incomplete.
inline bool isTooLarge(const restinio::request_t &Request) {
  return Request.header().has_field(TooLargeField);
}

namespace detail {

inline auto &contextOf(http_parser *Parser) {
  return *static_cast<restinio::impl::http_parser_ctx_t *>(Parser->data);
}

inline bool isHeadTooLarge(const http_parser *Parser) {
  return Parser->nread > MaxHeadBytes;
}

inline int onUrl(http_parser *Parser, const char *Data, std::size_t Length) {
  return isHeadTooLarge(Parser)
             ? -1
             : restinio::impl::restinio_url_cb(Parser, Data, Length);
}

inline int onHeaderField(http_parser *Parser, const char *Data,
                         std::size_t Length) {
  return isHeadTooLarge(Parser)
             ? -1
             : restinio::impl::restinio_header_field_cb(Parser, Data, Length);
}

inline int onHeaderValue(http_parser *Parser, const char *Data,
                         std::size_t Length) {
  return isHeadTooLarge(Parser)
             ? -1
             : restinio::impl::restinio_header_value_cb(Parser, Data, Length);
}

inline int onHeadersComplete(http_parser *Parser) {
  auto &Context = contextOf(Parser);
  if (Parser->content_length == ULLONG_MAX ||
      Parser->content_length <= Context.m_limits.max_body_size())
    return restinio::impl::restinio_headers_complete_cb(Parser);
  Context.m_leading_headers_completed = true;
  Context.m_header.add_field(TooLargeField, "");
  return 1; // http_parser skips the body.
}

inline int onBody(http_parser *Parser, const char *Data, std::size_t Length) {
  auto &Context = contextOf(Parser);
  if (Context.m_body.size() + Length <= Context.m_limits.max_body_size())
    return restinio::impl::restinio_body_cb(Parser, Data, Length);
  Context.m_body = {};
  Context.m_header.add_field(TooLargeField, "");
  return restinio::impl::restinio_message_complete_cb<
      restinio::default_http_methods_t>(Parser);
}

inline int onChunkHeader(http_parser * /*Parser*/) { return 0; }

} // namespace detail

} // namespace lycheetrestle::http

namespace restinio::impl {

template <>
inline http_parser_settings
create_parser_settings<lycheetrestle::http::bounded_http_methods>() noexcept {
  using namespace lycheetrestle::http;
  auto Settings = create_parser_settings<restinio::default_http_methods_t>();
  Settings.on_url = detail::onUrl;
  Settings.on_header_field = detail::onHeaderField;
  Settings.on_header_value = detail::onHeaderValue;
  Settings.on_headers_complete = detail::onHeadersComplete;
  Settings.on_body = detail::onBody;
  Settings.on_chunk_header = detail::onChunkHeader;
  return Settings;
}

} // namespace restinio::impl

#endif
