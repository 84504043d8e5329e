#include "event.h"

#include <stdlib.h>
#include <string.h>

static void
renew_free(struct agb_ev_renew *r)
{
	size_t i;

	for (i = 0; i < r->events_len; i++)
		free(r->events[i].text);
	free(r->events);
	free(r->usage);
	free(r->slots);
}

void
agb_event_free(struct agb_event *ev)
{
	switch (ev->type) {
	case AGB_EV_CALL:
		free((char *)(uintptr_t)ev->u.call.args);
		break;
	case AGB_EV_STORE:
		agb_store_result_free(&ev->u.store);
		break;
	case AGB_EV_WATCH:
		agb_store_kvs_free(ev->u.watch.kvs, ev->u.watch.kvs_len);
		break;
	case AGB_EV_INSTANCES:
		free(ev->u.list.items);
		break;
	case AGB_EV_SESSION:
		free(ev->u.session.tasks);
		free(ev->u.session.slots);
		break;
	case AGB_EV_RENEW:
		renew_free(&ev->u.renew);
		break;
	case AGB_EV_COMMANDS:
		free(ev->u.commands.items);
		break;
	case AGB_EV_RPC_CALL:
		xdr_free((xdrproc_t)xdr_agb_x_args, (char *)&ev->u.rpc_args);
		break;
	case AGB_EV_RPC_REPLY:
		if (ev->rpc_ok)
			xdr_free(
			    (xdrproc_t)xdr_agb_x_res, (char *)&ev->u.rpc_res);
		break;
	case AGB_EV_TICK:
	case AGB_EV_TERM:
	case AGB_EV_CALL_CLOSED:
	case AGB_EV_UPSTREAM:
		break;
	}
	memset(ev, 0, sizeof(*ev));
}
