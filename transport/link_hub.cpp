#include "transport/link_hub.h"

#include "transport/hub_core.h"

#include <utility>

namespace lycheetrestle::transport {

link_hub::link_hub(link_settings Settings, link_handlers Handlers)
    : Impl(std::make_unique<implementation>(std::move(Settings),
                                            std::move(Handlers))) {}

link_hub::~link_hub() = default;

std::string link_hub::start() { return Impl->start(); }

void link_hub::stop() { Impl->stop(); }

link_traffic link_hub::traffic() const { return Impl->traffic(); }

bool link_hub::send(const std::string &Peer, std::string Bytes) {
  return Impl->send(Peer, std::move(Bytes));
}

void link_hub::addPeer(link_peer Peer) { Impl->addPeer(std::move(Peer)); }

void link_hub::removePeer(const std::string &Name) { Impl->removePeer(Name); }

} // namespace lycheetrestle::transport
