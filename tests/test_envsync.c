#include "envsync.h"

#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "suite.h"

#define KEY "agatebeam/test/env"
#define NOW (100 * AGB_SEC)

static const char doc[] =
    "{\"name\":\"x\",\"regions\":[{\"name\":\"r\",\"domains\":[\"a\"]}],"
    "\"classes\":[{\"name\":\"q\",\"policy\":\"quick\","
    "\"deadline_ms\":1000}],"
    "\"teams\":[{\"name\":\"t\",\"credential_sha256\":"
    "\"2a97516c354b68848cdbd8f54a226a0a55b21ed138e207ad6c5cbb9c00aa5aea\","
    "\"quota\":{\"cpu_milli\":1,\"mem_mb\":1}}],"
    "\"work\":[{\"name\":\"w\",\"class\":\"q\","
    "\"need\":{\"cpu_milli\":1,\"mem_mb\":1}}]}";

/* One change reported by a watch; text is NULL for a deletion. */
struct change {
	const char *text;
	uint64_t version;
};

static void
apply_watch(struct agb_envsync *es, const struct change *c, size_t len,
    struct agb_effects *out)
{
	struct agb_event ev = {
	    .type = AGB_EV_WATCH, .tag = AGB_TAG(AGB_TAG_ENVSYNC, 2)};
	size_t i;

	ev.u.watch.kvs = agb_xcalloc(len, sizeof(struct agb_store_kv));
	ev.u.watch.kvs_len = len;
	for (i = 0; i < len; i++) {
		ev.u.watch.kvs[i].key = agb_xstrdup(KEY);
		ev.u.watch.kvs[i].mod_rev = c[i].version;
		ev.u.watch.kvs[i].deleted = c[i].text == NULL;
		if (c[i].text == NULL)
			continue;
		ev.u.watch.kvs[i].val = agb_xstrdup(c[i].text);
		ev.u.watch.kvs[i].val_len = strlen(c[i].text);
	}
	agb_envsync_step(es, NOW, &ev, out);
	agb_event_free(&ev);
}

/* Guards against activating an older or invalid document, and against losing
 * the active one when its key is deleted. */
static void
test_versions(void)
{
	static const struct {
		struct change changes[3];
		size_t len;
		uint64_t want;
	} cases[] = {
	    {{{doc, 5}}, 1, 5},
	    {{{doc, 5}, {doc, 7}}, 2, 7},
	    {{{doc, 7}, {doc, 5}}, 2, 7},
	    {{{doc, 5}, {NULL, 6}}, 2, 5},
	    {{{doc, 5}, {"{", 6}}, 2, 5},
	    {{{"{", 5}}, 1, 0},
	    {{{"{", 5}, {doc, 6}}, 2, 6},
	};
	struct agb_effects out = {0};
	struct agb_envsync *es;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		es = agb_envsync_new("test");
		apply_watch(es, cases[i].changes, cases[i].len, &out);
		CU_ASSERT_EQUAL(agb_envsync_version(es), cases[i].want);
		agb_envsync_free(es);
		agb_effects_clear(&out);
	}
	agb_effects_free(&out);
}

/* Guards against freeing a document while it is still in use. This happened
 * when two changes arrived in one watch message. */
static void
test_in_use(void)
{
	static const struct change first[] = {{doc, 5}};
	static const struct change two[] = {{doc, 6}, {doc, 7}};
	struct agb_envsync *const es = agb_envsync_new("test");
	struct agb_effects out = {0};
	const struct agb_env *used;

	apply_watch(es, first, 1, &out);
	agb_envsync_free_replaced(es);
	used = agb_envsync_env(es);
	apply_watch(es, two, 2, &out);
	CU_ASSERT_EQUAL(used->version, 5);
	CU_ASSERT_STRING_EQUAL(used->name, "x");
	agb_envsync_free_replaced(es);
	CU_ASSERT_EQUAL(agb_envsync_version(es), 7);
	agb_envsync_free(es);
	agb_effects_free(&out);
}

/* Guards against fetching in a tight loop from a peer that no longer has the
 * version it reported, as after a restart of the peer. */
static void
test_fetch_pause(void)
{
	struct agb_envsync *const es = agb_envsync_new("test");
	struct agb_effects out = {0};
	struct agb_event ev = {.type = AGB_EV_RPC_REPLY,
	    .tag = AGB_TAG(AGB_TAG_ENVSYNC, 3),
	    .rpc_ok = true};

	agb_envsync_peer_version(es, NOW, 9, "peer:1", &out);
	CU_ASSERT_EQUAL(out.len, 1);
	ev.u.rpc_res.proc = AGB_X_ENV_GET;
	agb_envsync_step(es, NOW, &ev, &out);
	agb_envsync_peer_version(es, NOW, 9, "peer:1", &out);
	CU_ASSERT_EQUAL(out.len, 1);
	agb_envsync_peer_version(es, NOW + 2 * AGB_SEC, 9, "peer:1", &out);
	CU_ASSERT_EQUAL(out.len, 2);
	agb_envsync_free(es);
	agb_effects_free(&out);
}

static const struct suite_test tests[] = {
    {"versions", test_versions},
    {"in_use", test_in_use},
    {"fetch_pause", test_fetch_pause},
};

int
main(void)
{
	return suite_run("envsync", tests, sizeof(tests) / sizeof(tests[0]));
}
