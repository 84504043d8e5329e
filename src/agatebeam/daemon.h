#ifndef AGB_DAEMON_H
#define AGB_DAEMON_H

/**
 * DOC: daemon
 *
 * An entry instance as a process: one libuv loop on one thread that turns
 * sockets, timers and signals into events, hands them to the reducer, and
 * carries out the effects.
 */

#include "settings.h"

/**
 * agb_daemon_run() - serve until SIGTERM or SIGINT has drained the instance
 * @s: checked settings
 *
 * Prints one line "listening http=ADDRESS rpc=ADDRESS" to stdout once both
 * sockets are bound.
 *
 * Return: 0 after a graceful shutdown, 1 when an address cannot be bound,
 * 3 when the drain limit or a second signal cut requests off.
 */
int agb_daemon_run(const struct agb_settings *s);

#endif
