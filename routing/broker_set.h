#ifndef LYCHEETRESTLE_ROUTING_BROKER_SET_H
#define LYCHEETRESTLE_ROUTING_BROKER_SET_H

#include "routing/slot_broker.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace lycheetrestle::routing {

/// The brokers of this entry, one for each service that it owns or that another
/// entry considers it to own.
class broker_set {
public:
  /// \param Self this entry.
  /// \param Incarnation the incarnation of this entry; tokens derive from it.
  /// \param Endpoints supplies the endpoints that may get new work.
  broker_set(std::string Self, std::uint64_t Incarnation,
             broker_settings Settings, const endpoint_source &Endpoints);

  /// Starts brokering a service that this entry now owns.
  /// \param Reporters the live entries, which will report their held slots.
  void gainOwnership(const std::string &Service,
                     std::set<std::string> Reporters, core::time_point Now);
  /// Passes a request to the broker of its service, which is created if
  /// missing. Refuses the request when there are too many brokers, or when this
  /// set is closed and another entry holds the request.
  void request(const std::string &Holder, const slot_request &Request,
               const std::set<std::string> &Reporters, core::time_point Now);
  void cancel(const std::string &Holder, const slot_cancel &Cancel);
  void release(const slot_release &Release, core::time_point Now);
  /// Passes the held slots of an entry to the broker of the service. Ignored
  /// when there are too many brokers.
  void report(const std::string &Holder, const slot_report &Report,
              const std::set<std::string> &Reporters, core::time_point Now);
  /// The link to an entry went down.
  void onHolderDown(const std::string &Holder);
  /// Records that this entry no longer owns a service. The grants of the next
  /// owner are unknown here, so a later request or report starts a rebuild.
  void loseOwnership(const std::string &Service);
  /// Returns every waiting request to its holder and refuses further requests
  /// of other entries. This entry may still have to broker its own requests.
  void close();
  /// Updates every broker and removes those that are neither owned nor used.
  void update(core::time_point Now);

  std::vector<broker_reply> takeReplies();
  const std::map<std::string, slot_broker> &brokers() const { return Brokers; }

private:
  /// Finds or creates a broker. A new broker starts with a rebuild, because an
  /// earlier owner may have granted slots that are still held.
  slot_broker &brokerOf(const std::string &Service,
                        const std::set<std::string> &Reporters,
                        core::time_point Now);

  std::string Self;
  std::uint64_t Incarnation;
  broker_settings Settings;
  const endpoint_source &Endpoints;
  std::map<std::string, slot_broker> Brokers;
  std::map<std::string, core::time_point> LastUsed;
  std::set<std::string> Owned;
  /// Services with a broker here that this entry no longer owns; the broker
  /// rebuilds before it grants again.
  std::set<std::string> OwnedElsewhere;
  std::uint64_t BrokersCreated = 0;
  bool IsClosed = false;
  std::vector<broker_reply> Replies;
};

} // namespace lycheetrestle::routing

#endif
