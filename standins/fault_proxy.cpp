/// @file fault_proxy.cpp TCP proxy that injects network faults between processes on loopback.
#include "event_util.h"
#include "settings.h"

#include <absl/strings/str_split.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>

#include <csignal>
#include <iostream>
#include <list>
#include <map>
#include <sys/socket.h>

namespace {

using namespace jasmineloom;

const std::vector<SettingRow> SettingTable = {
    {"links", SettingType::Text, 1, 16384, "", "",
     "Comma-separated links NAME=LISTEN>TARGET; LISTEN and TARGET are IP:port"},
    {"control", SettingType::Address, 1, 0, "127.0.0.1:27699", "",
     "Address of the control interface: GET /fault?link=NAME&mode=MODE&ms=DELAY"},
};

/// Fault that is applied to a link.
enum class LinkMode : std::uint8_t {
  Pass,
  Delay,  ///< Data is forwarded after a delay.
  Reset,  ///< Open and new connections are reset.
  Silent, ///< Data is held in both directions and forwarded when the fault ends.
  OneWay, ///< Data from the server is held, data from the client is forwarded.
};

struct Link;

/// A client connection and the connection to the link's target.
struct Connection {
  Link *Owner = nullptr;
  bufferevent *Client = nullptr;
  bufferevent *Server = nullptr;
};

struct Link {
  event_base *Base = nullptr;
  SocketAddress Target;
  evconnlistener *Listener = nullptr;
  LinkMode Mode = LinkMode::Pass;
  DurationMs Delay = 0;
  std::list<Connection> Connections;
};

/// Data that is forwarded after the delay of its link.
struct DelayedData {
  Link *Owner = nullptr;
  bufferevent *To = nullptr;
  EvBufferPtr Bytes;
  event *SendEvent = nullptr;
};

/// @param reset  Send RST instead of FIN.
void closeConnection(Connection &connection, bool reset) {
  for (bufferevent *side : {connection.Client, connection.Server}) {
    const linger resetOnClose{1, 0};
    if (reset)
      setsockopt(bufferevent_getfd(side), SOL_SOCKET, SO_LINGER, &resetOnClose,
                 sizeof(resetOnClose));
    bufferevent_free(side);
  }
  Link &link = *connection.Owner;
  link.Connections.remove_if([&connection](const Connection &it) { return &it == &connection; });
}

bool isOpen(const Link &link, const bufferevent *side) {
  for (const Connection &connection : link.Connections) {
    if (connection.Client == side || connection.Server == side)
      return true;
  }
  return false;
}

/// Forwards the data received at `from` according to the link's mode.
void forward(Link &link, bufferevent *from, bufferevent *to, bool fromServer) {
  const bool held = link.Mode == LinkMode::Silent || (link.Mode == LinkMode::OneWay && fromServer);
  evbuffer *in = bufferevent_get_input(from);
  if (held || evbuffer_get_length(in) == 0)
    return;
  if (link.Mode != LinkMode::Delay) {
    bufferevent_write_buffer(to, in);
    return;
  }
  auto *delayed = new DelayedData{&link, to, makeBuffer(), nullptr};
  evbuffer_add_buffer(delayed->Bytes.get(), in);
  const auto onDue = [](evutil_socket_t, short, void *arg) {
    const std::unique_ptr<DelayedData> delayed(static_cast<DelayedData *>(arg));
    if (isOpen(*delayed->Owner, delayed->To))
      bufferevent_write_buffer(delayed->To, delayed->Bytes.get());
    event_free(delayed->SendEvent);
  };
  delayed->SendEvent = event_new(link.Base, -1, 0, onDue, delayed);
  const timeval tv = toTimeval(link.Delay);
  event_add(delayed->SendEvent, &tv);
}

void forwardAll(Link &link) {
  for (Connection &connection : link.Connections) {
    forward(link, connection.Client, connection.Server, false);
    forward(link, connection.Server, connection.Client, true);
  }
}

void onRead(bufferevent *bev, void *arg) {
  auto *connection = static_cast<Connection *>(arg);
  const bool fromServer = bev == connection->Server;
  forward(*connection->Owner, bev, fromServer ? connection->Client : connection->Server,
          fromServer);
}

void onEvent(bufferevent *bev, short events, void *arg) {
  auto *connection = static_cast<Connection *>(arg);
  if ((events & BEV_EVENT_CONNECTED) != 0)
    return;
  // A silent link hides the end of a connection too.
  if (connection->Owner->Mode == LinkMode::Silent)
    return;
  bufferevent *other = bev == connection->Client ? connection->Server : connection->Client;
  // Forwards the data received before the end of the connection.
  bufferevent_flush(other, EV_WRITE, BEV_FLUSH);
  closeConnection(*connection, (events & BEV_EVENT_ERROR) != 0);
}

void onAccept(evconnlistener *, evutil_socket_t fd, sockaddr *, int, void *arg) {
  auto *link = static_cast<Link *>(arg);
  if (link->Mode == LinkMode::Reset) {
    const linger resetOnClose{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &resetOnClose, sizeof(resetOnClose));
    evutil_closesocket(fd);
    return;
  }
  Connection &connection = link->Connections.emplace_back();
  connection.Owner = link;
  connection.Client = bufferevent_socket_new(link->Base, fd, BEV_OPT_CLOSE_ON_FREE);
  connection.Server = bufferevent_socket_new(link->Base, -1, BEV_OPT_CLOSE_ON_FREE);
  for (bufferevent *side : {connection.Client, connection.Server}) {
    bufferevent_setcb(side, onRead, nullptr, onEvent, &connection);
    bufferevent_enable(side, EV_READ | EV_WRITE);
  }
  const SocketAddress &target = link->Target;
  if (bufferevent_socket_connect(connection.Server, target.get(), target.Size) != 0)
    closeConnection(connection, true);
}

void setMode(Link &link, LinkMode mode, DurationMs delay) {
  link.Mode = mode;
  link.Delay = delay;
  while (mode == LinkMode::Reset && !link.Connections.empty())
    closeConnection(link.Connections.front(), true);
  forwardAll(link);
}

const std::map<std::string, LinkMode> Modes = {{"pass", LinkMode::Pass},
                                               {"delay", LinkMode::Delay},
                                               {"reset", LinkMode::Reset},
                                               {"silent", LinkMode::Silent},
                                               {"one-way", LinkMode::OneWay}};

using Links = std::map<std::string, Link>;

void onControl(evhttp_request *request, void *arg) {
  auto &links = *static_cast<Links *>(arg);
  evkeyvalq query{};
  const char *rawQuery = evhttp_uri_get_query(evhttp_request_get_evhttp_uri(request));
  evhttp_parse_query_str(rawQuery == nullptr ? "" : rawQuery, &query);
  const auto parameter = [&query](const char *name) {
    const char *value = evhttp_find_header(&query, name);
    return std::string(value == nullptr ? "" : value);
  };
  const auto link = links.find(parameter("link"));
  const auto mode = Modes.find(parameter("mode"));
  const bool valid = link != links.end() && mode != Modes.end();
  if (valid)
    setMode(link->second, mode->second, std::strtoul(parameter("ms").c_str(), nullptr, 10));
  evhttp_clear_headers(&query);
  evhttp_send_reply(request, valid ? 200 : 404, nullptr, nullptr);
}

/// Parses NAME=LISTEN>TARGET and opens the listener.
/// @returns false if the text is malformed or the listen address cannot be bound.
bool openLink(event_base *base, Links &links, const std::string &text) {
  const std::vector<std::string> nameAndAddresses = absl::StrSplit(text, '=');
  const std::vector<std::string> addresses = absl::StrSplit(nameAndAddresses.back(), '>');
  const std::optional<SocketAddress> listen = socketAddressOf(addresses.front());
  const std::optional<SocketAddress> target = socketAddressOf(addresses.back());
  if (nameAndAddresses.size() != 2 || addresses.size() != 2 || !listen.has_value() ||
      !target.has_value())
    return false;
  Link &link = links[nameAndAddresses.front()];
  link.Base = base;
  link.Target = *target;
  link.Listener =
      evconnlistener_new_bind(base, onAccept, &link, LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE, -1,
                              listen->get(), listen->Size);
  return link.Listener != nullptr;
}

} // namespace

int main(int argc, char **argv) {
  const auto startup = settingsAtStart(
      "fault_proxy", "TCP proxy that injects network faults on loopback", SettingTable, argc, argv);
  if (const int *code = std::get_if<int>(&startup); code != nullptr)
    return *code;
  const auto &parsed = std::get<ParsedSettings>(startup);
  std::signal(SIGPIPE, SIG_IGN);
  const EventBasePtr base = makePreciseBase();
  Links links;
  for (const auto linkText : absl::StrSplit(parsed.Values.text("links"), ',')) {
    if (openLink(base.get(), links, std::string(linkText)))
      continue;
    std::cerr << "fault_proxy: cannot open link " << std::string(linkText)
              << ": malformed, or its listen address cannot be bound\n";
    return 1;
  }
  evhttp *control = evhttp_new(base.get());
  const absl::StatusOr<HostPort> address = splitAddress(parsed.Values.text("control"));
  evhttp_set_gencb(control, onControl, &links);
  if (!address.ok() || evhttp_bind_socket(control, address->Host.c_str(), address->Port) != 0) {
    std::cerr << "fault_proxy: cannot bind the control address " << parsed.Values.text("control")
              << "\n";
    return 1;
  }
  event_base_dispatch(base.get());
  return 0;
}
