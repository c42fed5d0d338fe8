#ifndef GENTIAN_ADAPTERS_ETCD_WATCH_H_
#define GENTIAN_ADAPTERS_ETCD_WATCH_H_

#include <string>

#include "gentian_adapters/key_value_store.h"
#include "gentian_net/http_client.h"

namespace gentian {

/** Waits on `/v3/watch` until a key changes, then closes the stream. Without
    a change the answer comes after the operation's wait, with the revision
    from which the next watch has to go on.
*/
void StartEtcdWatch(io_pool& pool,
                    http_client& client,
                    const std::string& address,
                    const kv_watch& operation,
                    milliseconds deadline,
                    key_value_store::answer_handler handler);

}  // namespace gentian

#endif  // GENTIAN_ADAPTERS_ETCD_WATCH_H_
