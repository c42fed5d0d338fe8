#include "link.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <thread>
#include <utility>

#include "sockets.h"

namespace gentian::soak {

namespace {

constexpr milliseconds kConnectLimit{1'000};
constexpr milliseconds kTick{10};

}  // namespace

link::link(std::string server)
    : to_(std::move(server)), server_([this](int client) { Carry(client); }) {}

void link::Cut() {
  server_.Close();
  Reset();
}

void link::HoldUp() {
  is_held_ = true;
  server_.Close();
}

void link::Heal() {
  is_held_ = false;
  if (!has_ended_) {
    server_.Open();
  }
}

void link::OnServerEnded() {
  has_ended_ = true;
  server_.Close();
}

void link::Reset() {
  ++resets_;
}

void link::Carry(int client) {
  const int resets = resets_;
  const int server = Connect(to_, kConnectLimit);
  if (server < 0) {
    ResetOnClose(client);
    return;
  }
  std::array<pollfd, 2> ends = {{{client, POLLIN, 0}, {server, POLLIN, 0}}};
  bool is_open = true;
  while (is_open) {
    if (resets != resets_) {
      ResetOnClose(client);
      ResetOnClose(server);
      break;
    }
    if (is_held_) {
      std::this_thread::sleep_for(kTick);
      continue;
    }
    if (::poll(ends.data(), ends.size(), static_cast<int>(kTick.count())) <=
        0) {
      continue;
    }
    for (std::size_t i = 0; i < ends.size() && is_open; ++i) {
      if (ends[i].revents == 0) {
        continue;
      }
      const int other = ends[1 - i].fd;
      std::string bytes;
      const read_end end = Receive(ends[i].fd, bytes, milliseconds(0));
      if (end == read_end::data) {
        is_open = SendAll(other, bytes);
      } else {
        if (end == read_end::reset) {
          ResetOnClose(other);
        }
        is_open = false;
      }
    }
  }
  ::close(server);
}

}  // namespace gentian::soak
