#ifndef LYCHEETRESTLE_FLEET_FLEET_STATE_H
#define LYCHEETRESTLE_FLEET_FLEET_STATE_H

#include "core/failure.h"
#include "fleet/commands.h"
#include "fleet/types.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lycheetrestle::fleet {

/// The result of applying a command. It is a pure function of the previous
/// state and the command, so it is the same on every replica and after a
/// restart.
struct apply_result {
  /// Set if the command was refused. A refusal is audited, but changes no host,
  /// wave, job, key or declaration.
  std::optional<core::failure> Failure;
  /// JSON for the caller; kept for resends of a command with a submission.
  std::string Response;
};

/// State of an idempotency key.
enum class key_status : std::uint8_t { Unknown, Reserved, Completed };

/// An idempotency key's reservation or stored response.
struct key_record {
  key_status Status = key_status::Unknown;
  std::uint64_t RequestDigest = 0;
  std::string Holder;
  std::uint32_t HttpStatus = 0;
  std::string ContentType;
  std::string Body;
  bool BodyDropped = false;
  /// Time of the reservation, by the clock that expires keys.
  std::int64_t TimeMs = 0;
};

/// Counters of a pool.
struct pool_summary {
  std::string Name;
  std::uint32_t Hosts = 0;     ///< Hosts that belong to the pool now.
  std::uint32_t HomeHosts = 0; ///< Hosts whose home is the pool.
  std::uint32_t Available = 0; ///< Hosts in service.
  std::uint32_t Minimum = 0;   ///< Smallest allowed Available.
};

/// Selects audit records.
struct audit_filter {
  std::string Actor, Kind, Object; ///< An empty text matches all.
  std::uint64_t AfterIndex = 0;
  std::size_t Limit = 100;
};

/// The replicated state machine. apply() is the only way to change it.
class fleet_state {
public:
  fleet_state();
  ~fleet_state();
  fleet_state(fleet_state &&) noexcept;
  fleet_state &operator=(fleet_state &&) noexcept;

  /// Applies a committed command.
  /// \param Command the command.
  /// \param Index its log index, larger than that of every earlier command.
  apply_result apply(const command &Command, std::uint64_t Index);

  /// Checks a declaration against the state without changing anything.
  /// \param Next the declaration.
  /// \returns the failure with which apply() would refuse it now, or nothing.
  /// Submission and actor of the command are not checked.
  std::optional<core::failure> checkSubmission(const declaration &Next) const;

  /// \returns the encoded state; equal states have equal bytes.
  std::string snapshot() const;
  /// \param Bytes bytes of snapshot().
  /// \returns the state, or Corrupt if the bytes are not a valid snapshot.
  static core::result<fleet_state> restore(std::string_view Bytes);
  /// \returns a hash of snapshot().
  std::uint64_t digest() const;

  std::uint64_t appliedIndex() const;
  std::int64_t timeMs() const; ///< Largest command time so far.
  /// \returns log index of the last change that entry processes need: an
  /// accepted declaration or a host's change of state. A declaration can remove
  /// hosts from hosts(), so after a change of declarationIndex() a reader needs
  /// the whole list rather than the changed hosts.
  std::uint64_t viewIndex() const;
  /// \returns log index of the last accepted declaration.
  std::uint64_t declarationIndex() const;
  const declaration &currentDeclaration() const;
  /// \returns accepted declarations by number, oldest first.
  std::vector<std::uint64_t> declarationNumbers() const;
  /// \returns the declaration, or nothing if it is unknown or so old that its
  /// content was dropped.
  std::optional<declaration> declarationByNumber(std::uint64_t Number) const;
  const std::map<std::string, host_record, std::less<>> &hosts() const;
  std::vector<pool_summary> pools() const;
  const std::map<std::uint64_t, wave_record> &waves() const;
  const std::map<std::uint64_t, job_record> &jobs() const;
  key_record findKey(std::string_view Key) const;
  std::size_t keyCount() const;
  std::vector<audit_record> audit(const audit_filter &Filter) const;
  /// \returns the result of an earlier submission, or nothing. A match does not
  /// prove that a new command is a resend; apply() compares actor and body.
  std::optional<apply_result> findSubmission(std::string_view Submission) const;

private:
  class implementation;
  std::unique_ptr<implementation> Impl;
};

} // namespace lycheetrestle::fleet

#endif
