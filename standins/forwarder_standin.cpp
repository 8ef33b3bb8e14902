/// @file forwarder_standin.cpp TCP forwarder that only copies bytes. Benchmarks use it as the lower
/// bound of the cost of a proxy hop.
#include "event_util.h"
#include "settings.h"

#include <absl/strings/str_cat.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <csignal>
#include <iostream>

namespace {

using namespace jasmineloom;

const std::vector<SettingRow> SettingTable = {
    {"port", SettingType::Number, 1, 65535, "9100", "port", "Port to listen on"},
    {"to", SettingType::Address, 1, 0, "127.0.0.1:9000", "", "Address to forward to"},
};

/// Read callback; `to` is the bufferevent of the other side.
void copyBytes(bufferevent *from, void *to) {
  bufferevent_write_buffer(static_cast<bufferevent *>(to), bufferevent_get_input(from));
}

void closeBoth(bufferevent *side, short events, void *other) {
  if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0)
    return;
  bufferevent_free(static_cast<bufferevent *>(other));
  bufferevent_free(side);
}

void onAccept(evconnlistener *listener, evutil_socket_t fd, sockaddr *, int, void *arg) {
  event_base *base = evconnlistener_get_base(listener);
  const auto &target = *static_cast<const SocketAddress *>(arg);
  setNoDelay(fd);
  bufferevent *client = bufferevent_socket_new(base, fd, BEV_OPT_CLOSE_ON_FREE);
  bufferevent *server = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_socket_connect(server, target.get(), target.Size);
  setNoDelay(bufferevent_getfd(server));
  bufferevent_setcb(client, copyBytes, nullptr, closeBoth, server);
  bufferevent_setcb(server, copyBytes, nullptr, closeBoth, client);
  bufferevent_enable(client, EV_READ | EV_WRITE);
  bufferevent_enable(server, EV_READ | EV_WRITE);
}

} // namespace

int main(int argc, char **argv) {
  const auto startup = settingsAtStart("forwarder_standin", "TCP forwarder for benchmarks",
                                       SettingTable, argc, argv);
  if (const int *code = std::get_if<int>(&startup); code != nullptr)
    return *code;
  const auto &parsed = std::get<ParsedSettings>(startup);
  std::signal(SIGPIPE, SIG_IGN);
  const EventBasePtr base(event_base_new());
  std::optional<SocketAddress> to = socketAddressOf(parsed.Values.text("to"));
  const std::optional<SocketAddress> listenAddress =
      socketAddressOf(absl::StrCat("127.0.0.1:", parsed.Values.number("port")));
  evconnlistener *listener =
      to.has_value() && listenAddress.has_value()
          ? evconnlistener_new_bind(base.get(), onAccept, &*to,
                                    LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE, -1,
                                    listenAddress->get(), listenAddress->Size)
          : nullptr;
  if (listener == nullptr) {
    std::cerr << "forwarder_standin: invalid target address " << parsed.Values.text("to")
              << ", or cannot listen on 127.0.0.1:" << parsed.Values.number("port") << "\n";
    return 1;
  }
  event_base_dispatch(base.get());
  return 0;
}
