#include "scheduling/founding_messages.h"

#include "fleet/cbor_archive.h"
#include "fleet/cbor_sequence.h"

#include <concepts>
#include <type_traits>

namespace lycheetrestle::fleet {

template <>
inline constexpr auto LargestEnumerator<scheduling::founding_step> =
    scheduling::founding_step::Decided;

} // namespace lycheetrestle::fleet

namespace lycheetrestle::scheduling {

template <typename Type, typename Record>
concept founding_record = std::same_as<std::remove_const_t<Type>, Record>;

template <typename Archive, founding_record<founding_ballot> Type>
void fields(Archive &A, Type &R) {
  A(R.Round, R.Name, R.Nonce);
}
template <typename Archive, founding_record<founding_candidate> Type>
void fields(Archive &A, Type &R) {
  A(R.Id.Name, R.Id.Incarnation, R.Zone);
}
template <typename Archive, founding_record<founding_message> Type>
void fields(Archive &A, Type &R) {
  A(R.Step, R.Ballot, R.AcceptedBallot, R.Candidates, R.Seeds);
  A.bytes(R.Voters);
}

std::string encodeFounding(const founding_message &Message) {
  std::string Bytes;
  nlohmann::json::to_cbor(fleet::cbor_writer::toJson(Message), Bytes);
  return Bytes;
}

std::optional<founding_message> decodeFounding(std::string_view Bytes) {
  // The recursive parser would overflow the stack on deeply nested bytes.
  fleet::cbor_sequence Sequence(Bytes);
  auto Item = Sequence.next();
  founding_message Message;
  if (!Item || !Sequence.atEnd() ||
      !fleet::cbor_reader::fromJson(*Item, Message))
    return std::nullopt;
  return Message;
}

} // namespace lycheetrestle::scheduling
