#ifndef LYCHEETRESTLE_HTTP_RESPONSE_ROOM_H
#define LYCHEETRESTLE_HTTP_RESPONSE_ROOM_H

#include <cstddef>
#include <memory>

namespace lycheetrestle::http {

/// Memory of the large responses that are not yet written. Clients that read
/// nothing could otherwise fill the memory with copies of a large document. Not
/// thread-safe.
class response_room {
public:
  /// \param Bytes largest sum of the large responses.
  explicit response_room(std::size_t Bytes) : Bytes(Bytes) {}
  response_room(const response_room &) = delete;
  response_room &operator=(const response_room &) = delete;

  /// \returns whether a response of this size has room. Small ones always have,
  /// because they fit into the allowance of a connection.
  bool fits(std::size_t Size) const;
  /// Counts a response, whether it has room or not.
  /// \returns an object to keep until the response is written or discarded; it
  /// must not outlive this room.
  std::shared_ptr<void> hold(std::size_t Size);
  /// \returns the sum of the large responses.
  std::size_t heldBytes() const { return Held; }

private:
  std::size_t Bytes;
  std::size_t Held = 0;
};

} // namespace lycheetrestle::http

#endif
