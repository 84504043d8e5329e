#ifndef AGB_DAEMON_H
#define AGB_DAEMON_H

/**
 * DOC: daemon
 *
 * Process of an entry instance. A single-threaded libuv loop converts I/O,
 * timers and signals into events, passes them to the reducer and performs the
 * effects that the reducer returns.
 */

#include "settings.h"

/**
 * agb_daemon_run() - serve until SIGTERM or SIGINT, then drain and return
 * @s: validated settings
 *
 * Prints the line "listening http=ADDRESS rpc=ADDRESS" to stdout once both
 * sockets are bound.
 *
 * Return: 0 after a graceful shutdown, 1 if an address could not be bound,
 * 3 if requests were aborted by the drain limit or by a second signal.
 */
int agb_daemon_run(const struct agb_settings *s);

#endif
