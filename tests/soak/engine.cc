#include "engine.h"

#include <poll.h>

#include <algorithm>
#include <cstdio>
#include <thread>
#include <utility>

#include "sockets.h"

namespace gentian::soak {

namespace {

constexpr milliseconds kEventGap{20};
constexpr milliseconds kOnceTime{15};
constexpr milliseconds kLongTime{1'000};
constexpr milliseconds kLateCopy{30};
constexpr milliseconds kTick{5};
constexpr milliseconds kIdleLimit{5'000};
// A link of 1,000 Mbit/s.
constexpr std::chrono::nanoseconds kLinkTimePerByte{8};
constexpr int kSlots = 16;
// Of a hundred requests, those that are refused without a run.
constexpr int kRefusedShare = 2;
constexpr int kPercent = 100;

milliseconds UnixTime() {
  return std::chrono::duration_cast<milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
}

std::string Chunk(const std::string& bytes) {
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

std::string Head(int status, const std::string& request) {
  return "HTTP/1.1 " + std::to_string(status) +
         " Status\r\nRequest-Id: " + request + "\r\nResponse-Seal: seal-" +
         request + "\r\n";
}

std::string Refusal(int status, const std::string& request) {
  return "HTTP/1.1 " + std::to_string(status) +
         " Status\r\nRequest-Id: " + request +
         "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
}

}  // namespace

engine::engine(std::string id,
               std::string service,
               std::string version,
               std::uint64_t seed,
               judge& seen)
    : id_(std::move(id)),
      service_(std::move(service)),
      version_(std::move(version)),
      started_at_(UnixTime()),
      seen_(seen),
      random_(seed),
      server_([this](int socket) { Serve(socket); }) {}

std::string engine::Entry(const std::string& address) const {
  return json{{"service", service_},
              {"address", address},
              {"zone", "z1"},
              {"version", version_},
              {"slots", kSlots},
              {"state", is_draining_ ? "draining" : "ready"},
              {"cold_left_ms", 0},
              {"seq", 1},
              {"born", started_at_.count()}}
      .dump();
}

void engine::Pause(milliseconds length) {
  paused_until_ = BootTimeNow() + length;
}

void engine::Crash() {
  has_crashed_ = true;
  server_.Close();
  server_.EndConnections(false);
}

std::uint64_t engine::Below(std::uint64_t bound) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return random_.Below(bound);
}

engine::damage engine::NextDamage() {
  constexpr std::uint64_t kKinds = 4;
  constexpr double kParts = 1'000;
  return static_cast<double>(Below(1'000)) < damaged_share_ * kParts
             ? static_cast<damage>(1 + Below(kKinds))
             : damage::none;
}

void engine::Serve(int socket) {
  std::string input;
  while (!has_crashed_) {
    std::size_t end = std::string::npos;
    while ((end = input.find("\r\n\r\n")) == std::string::npos) {
      if (Receive(socket, input, kIdleLimit) != read_end::data) {
        return;
      }
    }
    const std::string size =
        FieldOf(input.substr(0, end + 2), "Content-Length");
    const std::size_t length = size.empty() ? 0 : std::stoul(size);
    while (input.size() < end + 4 + length) {
      if (Receive(socket, input, kIdleLimit) != read_end::data) {
        return;
      }
    }
    const std::string head = input.substr(0, end + 2);
    const std::string body = input.substr(end + 4, length);
    input.erase(0, end + 4 + length);
    if (!Answer(socket, head, body)) {
      return;
    }
  }
}

bool engine::Answer(int socket,
                    const std::string& head,
                    const std::string& body) {
  constexpr int kMisdirected = 421;
  constexpr int kUnavailable = 503;
  const std::string request = FieldOf(head, "Request-Id");
  if (FieldOf(head, "Expect-Instance") != id_) {
    return SendAll(socket, Refusal(kMisdirected, request));
  }
  if (const endless_answer* form = endless_) {
    seen_.OnBrokenOff(request);
    SendWithoutEnd(socket, *form, request);
    return false;
  }
  if (Below(kPercent) < kRefusedShare) {
    return SendAll(socket, Refusal(kUnavailable, request));
  }
  const damage fault = NextDamage();
  const bool is_open =
      head.find(" /once/") != std::string::npos
          ? RunOnce(socket, request,
                    head.find(" /once/long") != std::string::npos ? kLongTime
                                                                  : kOnceTime,
                    fault)
          : Stream(socket, head, DecodeOrder(body), fault);
  if (has_crashed_ || (fault != damage::none && fault != damage::late_copy)) {
    seen_.OnBrokenOff(request);
  }
  return is_open;
}

bool engine::Work(int socket, milliseconds length) {
  const steady_time until =
      std::max(BootTimeNow() + length, paused_until_.load());
  while (BootTimeNow() < until) {
    pollfd client{socket, POLLIN, 0};
    if (has_crashed_ || ::poll(&client, 1, 0) > 0) {
      return false;
    }
    std::this_thread::sleep_for(std::min<duration>(
        kTick, std::max<duration>(until - BootTimeNow(), duration(0))));
  }
  return !has_crashed_;
}

bool engine::Stream(int socket,
                    const std::string& head,
                    const stream_order& order,
                    damage fault) {
  const std::string request = FieldOf(head, "Request-Id");
  const std::string last = FieldOf(head, "Last-Event-Id");
  const int first = last.empty() ? 1 : std::stoi(last) + 1;
  const auto form = static_cast<framing>(StableHash(request) % 3);
  std::string answer;
  for (int i = first; i <= order.events; ++i) {
    answer += EventText(order, version_, i);
  }
  std::string begin =
      Head(200, request) + "Content-Type: text/event-stream\r\n";
  if (form == framing::chunks) {
    begin += "Transfer-Encoding: chunked\r\n\r\n";
  } else if (form == framing::length) {
    begin += "Content-Length: " + std::to_string(answer.size()) + "\r\n\r\n";
  } else {
    begin += "Connection: close\r\n\r\n";
  }
  if (fault == damage::no_answer) {
    SendAll(socket, "no answer\n\n" + answer);
    return false;
  }
  if (fault == damage::cut_in_head) {
    SendAll(socket, begin.substr(0, Below(begin.size())));
    return false;
  }
  if (!SendAll(socket, begin)) {
    return false;
  }
  const int broken_at =
      fault == damage::cut_in_body
          ? first + static_cast<int>(
                        Below(static_cast<std::uint64_t>(order.events)))
          : 0;
  for (int i = first; i <= order.events; ++i) {
    if (!Work(socket, kEventGap)) {
      return false;
    }
    const std::string event = EventText(order, version_, i);
    if (i == broken_at) {
      const std::string part = event.substr(0, 1 + Below(event.size() - 1));
      SendAll(socket, form == framing::chunks ? Chunk(part) : part);
      return false;
    }
    if (!SendAll(socket, form == framing::chunks ? Chunk(event) : event)) {
      return false;
    }
  }
  if (form == framing::connection) {
    return false;
  }
  if (form == framing::chunks && !SendAll(socket, "0\r\n\r\n")) {
    return false;
  }
  if (fault == damage::late_copy) {
    std::this_thread::sleep_for(kLateCopy);
    return SendAll(socket, Head(200, request) +
                               "Content-Type: text/event-stream\r\n"
                               "Content-Length: " +
                               std::to_string(answer.size()) + "\r\n\r\n" +
                               answer);
  }
  return true;
}

void engine::SendWithoutEnd(int socket,
                            const endless_answer& form,
                            const std::string& request) {
  bool is_open = SendAll(socket, form.begin(request));
  const duration part_time(
      std::chrono::nanoseconds(form.part.size() * kLinkTimePerByte.count()));
  while (is_open && endless_ && !has_crashed_) {
    steady_time start;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      start = std::max(BootTimeNow(), link_free_at_);
      link_free_at_ = start + part_time;
    }
    std::this_thread::sleep_for(start - BootTimeNow());
    is_open = SendAll(socket, form.part);
  }
  // It must not look like the end of an answer.
  ResetOnClose(socket);
}

bool engine::RunOnce(int socket,
                     const std::string& request,
                     milliseconds work,
                     damage fault) {
  seen_.OnRun(request);
  if (!Work(socket, work)) {
    return false;
  }
  const std::string body = "done " + request;
  return SendWhole(socket,
                   Head(200, request) + "Content-Length: " +
                       std::to_string(body.size()) + "\r\n\r\n" + body,
                   fault);
}

bool engine::SendWhole(int socket, const std::string& answer, damage fault) {
  switch (fault) {
    case damage::none:
      return SendAll(socket, answer);
    case damage::cut_in_head:
    case damage::cut_in_body:
      SendAll(socket, answer.substr(0, Below(answer.size())));
      return false;
    case damage::no_answer:
      SendAll(socket, "no answer\n\n");
      return false;
    case damage::late_copy:
      if (!SendAll(socket, answer)) {
        return false;
      }
      std::this_thread::sleep_for(kLateCopy);
      return SendAll(socket, answer);
  }
  return false;
}

}  // namespace gentian::soak
