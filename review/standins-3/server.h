/// @file server.h An application server beside a node, as PROTOCOL.md describes it.
#pragma once

#include "net.h"

#include <atomic>

class Server {
public:
  explicit Server(const Flags &flags)
      : Address(flags.text("address")), Control(flags.text("control")),
        Service(flags.text("service")), Id(flags.text("id")),
        Work(flags.number("work", 20)), Slots(flags.number("slots", 12)),
        BeatPause(flags.number("beat", 1500)), AnswerBytes(flags.number("answer-bytes")) {}

  int run() {
    const int listener = listenOn(Address);
    std::thread([this] { beat(); }).detach();
    while (true) {
      const int fd = accept(listener, nullptr, nullptr);
      if (fd < 0)
        continue;
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      std::thread([this, fd] { serve(fd); }).detach();
    }
  }

private:
  void beat() {
    const std::string born = std::to_string(wallMs());
    for (long sequence = 1;; ++sequence) {
      const std::string body =
          "{\"address\":\"" + Address + "\",\"born\":" + born + ",\"information\":{\"service\":\"" +
          Service + "\",\"version\":\"v1\",\"zone\":\"dc1\",\"slots\":" + std::to_string(Slots) +
          "},\"status\":{\"state\":\"ready\",\"sequence\":" + std::to_string(sequence) +
          ",\"cold_remaining_ms\":0}}";
      Message answer;
      callOnce(Control,
               "PUT /instances/" + Id + " HTTP/1.1\r\nHost: " + Control +
                   "\r\nContent-Type: application/json\r\n",
               body, answer, 1000);
      sleepMs(BeatPause);
    }
  }

  /// Works on a request; @returns false if the caller closed its connection meanwhile.
  bool work(int fd) const {
    const std::int64_t until = wallMs() + Work;
    while (true) {
      const std::int64_t left = until - wallMs();
      if (left <= 0)
        return true;
      pollfd poller{fd, POLLRDHUP, 0};
      if (poll(&poller, 1, static_cast<int>(left)) > 0)
        return false;
    }
  }

  std::string fields(const Message &request) const {
    std::string text = "Instance-Id: " + Id + "\r\nServer-Load: " + std::to_string(Running.load()) +
                       ",0," + std::to_string(Slots) + "\r\n";
    if (!request.field("request-id").empty())
      text += "Request-Id: " + request.field("request-id") + "\r\n";
    return text;
  }

  void serve(int fd) {
    Connection connection(fd);
    Message request;
    while (connection.read(request, wallMs() + 20000)) {
      const std::string id = request.field("request-id");
      const std::string expected = request.field("expected-instance");
      std::string status = "200 OK";
      std::string body = "answer to " + id + "\n";
      std::string more;
      if (request.target() == "/health") {
        body = "ok\n";
      } else if (!expected.empty() && expected != Id) {
        record("misdirected " + id);
        status = "421 Misdirected Request";
      } else if (++Running > Slots) {
        --Running;
        record("arrived " + id);
        record("rejected " + id);
        status = "503 Service Unavailable";
        more = "Not-Executed: 1\r\n";
      } else {
        record("arrived " + id);
        record("run " + id + " " + request.Start + " body " + std::to_string(request.Body.size()));
        const bool stays = work(fd);
        --Running;
        if (!stays) {
          record("dropped " + id);
          return;
        }
        more = "Server-Signature: " + Id + "." + id + "\r\n";
        body.resize(std::max(body.size(), static_cast<std::size_t>(AnswerBytes)), 'a');
        record("answered " + id);
      }
      if (!sendAll(fd, "HTTP/1.1 " + status + "\r\n" + fields(request) + more +
                           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body))
        return;
    }
  }

  std::string Address;
  std::string Control;
  std::string Service;
  std::string Id;
  long Work;
  long Slots;
  long BeatPause;
  long AnswerBytes; ///< Length of an answer at least.
  std::atomic<long> Running{0};
};
