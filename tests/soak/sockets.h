#ifndef TESTS_SOAK_SOCKETS_H_
#define TESTS_SOAK_SOCKETS_H_

#include <string>

#include "gentian_core/gentian_core.h"

namespace gentian::soak {

/** How a read from a socket ended. */
enum class read_end { data, closed, reset, timeout };

/** Blocking TCP, for stand-ins that have to do what no HTTP library does.
   Addresses are `ip:port`. */
int Connect(const std::string& address, milliseconds limit);
/** @param address  to listen on; if it is empty, set to a free one of 127.0.0.1
    @returns        the listening socket, or -1 */
int Listen(std::string& address);
bool SendAll(int socket, const std::string& bytes);
/** Appends what arrives next. */
read_end Receive(int socket, std::string& bytes, milliseconds limit);
/** Has the socket end with a reset when it is closed. */
void ResetOnClose(int socket);

/** The status of the final answer that a head begins with; 0 if it isn't the
   head of one: no status of HTTP, or a field whose name is not a token. */
int StatusOf(const std::string& head);

/** The value of a field in the head of an HTTP message; empty if absent. */
std::string FieldOf(const std::string& head, const std::string& name);

}  // namespace gentian::soak

#endif  // TESTS_SOAK_SOCKETS_H_
