#include "wf_peers.h"

#include <inttypes.h>
#include <string.h>

#include "mem.h"

/* Instances ping each other. A leader that most of them do not answer resigns,
 * but not again within the pause. */
#define PING_INTERVAL_MS 800
#define PING_TIMEOUT_MS 700
#define ISOLATED_MS 900
#define RESIGN_PAUSE_MS 15000
/* Besides the leader, an instance pings this many peers that follow it in the
 * order of names. */
#define PING_NEIGHBORS 5

#define PING_TAG ((uint64_t)1 << 59)

void
wf_peers_init(struct wf_peers *ps, const char *self)
{
	memset(ps, 0, sizeof(*ps));
	agb_str_copy(ps->self, sizeof(ps->self), self);
}

void
wf_peers_allow(const struct wf_table *t, struct wf_effects *out)
{
	struct wf_effect *const ef = wf_effects_add(out, WF_EF_ALLOW_PEERS);
	const struct wf_peer *p;

	ef->peers = agb_xcalloc(HASH_COUNT(t->peers) + 1, sizeof(agb_addr));
	for (p = t->peers; p != NULL; p = p->hh.next)
		agb_str_copy(
		    ef->peers[ef->peers_len++], sizeof(agb_addr), p->rpc);
}

/* Distance from this instance to another one in the ring of all names. */
static uint32_t
ring_distance(
    const struct wf_table *t, const char *self, const struct wf_peer *to)
{
	const struct wf_peer *p;
	uint32_t before_self, before_to, n;

	before_self = before_to = n = 0;
	for (p = t->peers; p != NULL; p = p->hh.next) {
		n++;
		before_self += strcmp(p->name, self) < 0;
		before_to += strcmp(p->name, to->name) < 0;
	}
	return n > 0 ? (before_to + n - before_self) % n : 0;
}

/* The leader pings all instances and the others ping only a few, because pings
 * between all pairs of a large deployment would overload small machines. */
static bool
is_target(const struct wf_table *t, const char *self, bool leads,
    const struct wf_peer *p)
{
	if (strcmp(p->name, self) == 0)
		return false;
	return leads || strcmp(p->name, t->leader) == 0 ||
	    ring_distance(t, self, p) <= PING_NEIGHBORS;
}

static void
choose_targets(struct wf_table *t, const char *self, bool leads)
{
	struct wf_peer *p;
	bool pinged;

	for (p = t->peers; p != NULL; p = p->hh.next) {
		pinged = is_target(t, self, leads, p);
		if (pinged && !p->pinged)
			p->pinged_since = 0;
		if (pinged != p->pinged)
			p->heard_at = 0;
		p->pinged = pinged;
	}
}

void
wf_peers_ping(struct wf_peers *ps, struct wf_peer *p, agb_time now,
    struct wf_effects *out)
{
	struct wf_effect *ef;

	if (p->pinged_since == 0)
		p->pinged_since = now;
	p->ping_tag = PING_TAG | ++ps->tags_used;
	ef = wf_effects_add(out, WF_EF_PEER_PING);
	ef->tag = p->ping_tag;
	ef->timeout_ms = PING_TIMEOUT_MS;
	agb_str_copy(ef->peer, sizeof(ef->peer), p->rpc);
}

agb_time
wf_peers_tick(struct wf_peers *ps, struct wf_table *t, bool leads, agb_time now,
    struct wf_effects *out)
{
	struct wf_peer *p;

	if (now < ps->ping_at)
		return ps->ping_at;
	ps->ping_at = now + PING_INTERVAL_MS * AGB_MS;
	choose_targets(t, ps->self, leads);
	for (p = t->peers; p != NULL; p = p->hh.next) {
		if (p->pinged && p->ping_tag == 0)
			wf_peers_ping(ps, p, now, out);
	}
	/* The reducer ticks at least once a second, which is often enough. */
	return AGB_TIME_MAX;
}

void
wf_peers_ping_done(struct wf_table *t, uint64_t tag, bool ok, agb_time now,
    struct wf_effects *out)
{
	struct wf_peer *p;
	bool responded;

	for (p = t->peers; p != NULL; p = p->hh.next) {
		if (p->ping_tag == tag)
			break;
	}
	if (p == NULL)
		return;
	p->ping_tag = 0;
	responded = wf_peer_responds(p, now);
	if (ok)
		p->heard_at = now;
	if (responded != wf_peer_responds(p, now))
		wf_effects_log(out, AGB_LOG_WARN, "dependency",
		    "name=%s change=%s", p->name, ok ? "regained" : "lost");
}

uint32_t
wf_peers_count_silent(
    const struct wf_peers *ps, const struct wf_table *t, agb_time now)
{
	const struct wf_peer *p;
	uint32_t n;

	n = 0;
	for (p = t->peers; p != NULL; p = p->hh.next)
		n += strcmp(p->name, ps->self) != 0 && !p->replaced &&
		    !wf_peer_responds(p, now);
	return n;
}

bool
wf_peers_isolated(struct wf_peers *ps, const struct wf_table *t, bool leads,
    agb_time now, struct wf_effects *out)
{
	const uint32_t others =
	    HASH_COUNT(t->peers) > 0 ? HASH_COUNT(t->peers) - 1 : 0;
	const uint32_t silent = wf_peers_count_silent(ps, t, now);

	if (!leads || others < 2 || silent * 2 <= others) {
		ps->isolated_at = 0;
		return false;
	}
	if (ps->isolated_at == 0)
		ps->isolated_at = now;
	if (now - ps->isolated_at < ISOLATED_MS * AGB_MS ||
	    (ps->resigned_at != 0 &&
		now - ps->resigned_at < RESIGN_PAUSE_MS * AGB_MS))
		return false;
	wf_effects_log(out, AGB_LOG_WARN, "lead",
	    "change=resigning silent_peers=%" PRIu32 " peers=%" PRIu32, silent,
	    others);
	ps->resigned_at = now;
	return true;
}
