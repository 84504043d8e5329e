/*
 * Fuzz target for the parsers of the etcd client. Guards against a response or
 * watch message that crashes them, leaks memory, or yields keys without a name,
 * a revision or a terminated value. The first byte of the input, a digit, is the
 * kind of the operation; 5 stands for a watch message.
 */

#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "store_etcd.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void
check_kvs(const struct agb_store_kv *kvs, size_t len)
{
	size_t i;

	for (i = 0; i < len; i++) {
		if (kvs[i].key == NULL || kvs[i].key[0] == '\0' ||
		    kvs[i].mod_rev == 0 || kvs[i].val[kvs[i].val_len] != '\0')
			abort();
	}
}

static void
parse_watch_msg(const char *text)
{
	struct json_object *const msg = json_tokener_parse(text);
	struct agb_store_etcd_watch_msg ev;

	if (agb_store_etcd_parse_watch(msg, &ev))
		check_kvs(ev.kvs, ev.kvs_len);
	agb_store_kvs_free(ev.kvs, ev.kvs_len);
	json_object_put(msg);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct agb_store_result res;
	struct agb_store_op op;
	char *text;

	if (size == 0 || data[0] < '0' || data[0] > '5')
		return 0;
	text = agb_xmemdup(data + 1, size - 1);
	if (data[0] == '5') {
		parse_watch_msg(text);
	} else {
		agb_store_op_init_range(&op, "a", "c", 8);
		op.kind = (enum agb_store_op_kind)(data[0] - '0');
		op.lease = 5;
		if (agb_store_etcd_parse_response(&op, text, size - 1, &res))
			check_kvs(res.kvs, res.kvs_len);
		else if (res.kvs != NULL || res.status != AGB_STORE_LOST)
			abort();
		agb_store_result_free(&res);
		agb_store_op_free(&op);
	}
	free(text);
	return 0;
}
