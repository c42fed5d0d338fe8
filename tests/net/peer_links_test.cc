#include <criterion/criterion.h>

#include <mutex>
#include <vector>

#include "support/synchronous_http.h"

using namespace gentian;
using namespace gentian::testing;

namespace {

constexpr const char* kKey = "0123456789abcdef0123456789abcdef";

// The links of one daemon and what they received.
struct endpoint {
  endpoint(io_pool& pool, const std::string& name, const std::string& key)
      : links(
            pool,
            Options(name, key),
            [this](const std::string& from, const std::string& message) {
              const std::lock_guard<std::mutex> lock(mutex);
              received.push_back(from + ":" + message);
            },
            [this](const std::string& /*peer*/, const std::string& reason) {
              const std::lock_guard<std::mutex> lock(mutex);
              reasons.push_back(reason);
            }) {
    cr_assert(!Failed(links.Bind("127.0.0.1:0")));
    links.Serve();
  }

  static peer_link_options Options(const std::string& name,
                                   const std::string& key) {
    peer_link_options options;
    options.name = name;
    options.cluster_key = key;
    options.heartbeat = milliseconds(50);
    options.silence = milliseconds(500);
    return options;
  }

  std::vector<std::string> Received() {
    const std::lock_guard<std::mutex> lock(mutex);
    return received;
  }

  bool HasReason(const std::string& text) {
    const std::lock_guard<std::mutex> lock(mutex);
    for (const std::string& reason : reasons) {
      if (reason.find(text) != std::string::npos) {
        return true;
      }
    }
    return false;
  }

  std::mutex mutex;
  std::vector<std::string> received;
  std::vector<std::string> reasons;
  peer_links links;
};

}  // namespace

// Guards against lost or reordered messages on a working link, and against
// links that die while there is nothing to say.
Test(peer_links, messages_arrive_in_order_in_both_directions) {
  io_pool pool(2);
  {
    endpoint a(pool, "a", kKey);
    endpoint b(pool, "b", kKey);
    a.links.SetAddresses({{"b", b.links.address()}});
    b.links.SetAddresses({{"a", a.links.address()}});
    const std::string large(300'000, 'x');
    for (int i = 0; i < 20; ++i) {
      cr_assert(a.links.Send("b", std::to_string(i) + large));
    }
    cr_assert(b.links.Send("a", "back"));
    cr_assert(WaitFor([&] { return b.Received().size() == 20; }));
    for (int i = 0; i < 20; ++i) {
      cr_assert(b.Received()[static_cast<std::size_t>(i)] ==
                "a:" + std::to_string(i) + large);
    }
    cr_assert(WaitFor([&] { return a.Received().size() == 1; }));
    std::this_thread::sleep_for(milliseconds(1'000));
    a.links.Send("b", "later");
    cr_assert(WaitFor([&] { return b.Received().size() == 21; }));
    cr_assert(!a.HasReason(""));
    pool.Stop();
  }
}

// Guards against a process without the cluster key that joins or listens in.
Test(peer_links, another_key_is_refused_by_both_ends) {
  io_pool pool(2);
  {
    endpoint honest(pool, "a", kKey);
    endpoint other(pool, "b", std::string(32, 'z'));
    honest.links.SetAddresses({{"b", other.links.address()}});
    other.links.SetAddresses({{"a", honest.links.address()}});
    honest.links.Send("b", "secret");
    other.links.Send("a", "forged");
    cr_assert(WaitFor([&] {
      return honest.HasReason("cluster key") && other.HasReason("cluster key");
    }));
    cr_assert(honest.Received().empty() && other.Received().empty());
    pool.Stop();
  }
}

// Guards against a message that reaches a daemon it is not meant for, after an
// address was given to another host.
Test(peer_links, address_of_another_daemon_is_refused) {
  io_pool pool(2);
  {
    endpoint a(pool, "a", kKey);
    endpoint b(pool, "b", kKey);
    a.links.SetAddresses({{"c", b.links.address()}});
    a.links.Send("c", "for c");
    cr_assert(WaitFor([&] { return a.HasReason("belongs to daemon b"); }));
    cr_assert(b.Received().empty());
    pool.Stop();
  }
}

// Guards against links that wait for ever on a connection that went silent.
Test(peer_links, silent_link_is_replaced) {
  io_pool pool(2);
  {
    endpoint a(pool, "a", kKey);
    // Accepts connections (in the kernel) and never answers, like a paused
    // process.
    http_server paused(pool, [](const std::shared_ptr<http_exchange>&) {});
    cr_assert(!Failed(paused.Bind("127.0.0.1:0")));
    a.links.SetAddresses({{"b", paused.address()}});
    a.links.Send("b", "lost");
    cr_assert(WaitFor([&] { return a.HasReason("silent"); }));
    endpoint b(pool, "b", kKey);
    a.links.SetAddresses({{"b", b.links.address()}});
    cr_assert(WaitFor([&] {
      a.links.Send("b", "again");
      return !b.Received().empty();
    }));
    pool.Stop();
  }
}

// Guards against memory without bound for a daemon that does not read.
Test(peer_links, queue_is_bounded) {
  io_pool pool(1);
  {
    endpoint a(pool, "a", kKey);
    http_server paused(pool, [](const std::shared_ptr<http_exchange>&) {});
    cr_assert(!Failed(paused.Bind("127.0.0.1:0")));
    a.links.SetAddresses({{"b", paused.address()}});
    const std::string large(8 * 1024 * 1024, 'x');
    int accepted = 0;
    while (accepted < 10 && a.links.Send("b", large)) {
      ++accepted;
    }
    cr_assert(accepted == 4);
    pool.Stop();
  }
}

// Guards against a handshake that can be replayed or reflected.
Test(link_authenticator, proofs_belong_to_one_handshake_and_one_role) {
  link_authenticator client(kKey, "a");
  link_authenticator server(kKey, "b");
  const auto challenge = server.AnswerHello(client.Hello());
  const auto proof = client.AnswerChallenge(ValueOf(challenge), "b");
  cr_assert(!Failed(server.CheckProof(ValueOf(proof))));
  // The server's own proof does not pass as the client's.
  const json own{{"proof", json::parse(ValueOf(challenge))["proof"]}};
  cr_assert(Failed(server.CheckProof(own.dump())));
  // A recorded proof does not fit another handshake.
  link_authenticator next(kKey, "b");
  link_authenticator again(kKey, "a");
  next.AnswerHello(again.Hello());
  cr_assert(Failed(next.CheckProof(ValueOf(proof))));
  json old = json::parse(client.Hello());
  old["protocol"] = kLinkProtocol + 1;
  cr_assert(Failed(server.AnswerHello(old.dump())));
}
