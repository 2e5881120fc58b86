#include "member_codec.h"

#include <rpc/rpc.h>
#include <string.h>

/* Word of an update that holds its state and flags. */
#define STATE_MASK 0xff
#define INFO_FLAG 0x100 /* the rest of the member's info follows */
/* The version of its target follows the info. Daemons of a release without
 * versions refuse the flag, so that it is set only where one is known. */
#define VERSION_FLAG 0x200

static int
xdr_port(XDR *x, uint16_t *port)
{
	uint32_t v = *port;

	if (!xdr_uint32_t(x, &v) || v > UINT16_MAX)
		return 0;
	*port = (uint16_t)v;
	return 1;
}

/* Encodes or decodes a string of at most @size bytes including its NUL; the NUL
 * is not transmitted. */
static int
xdr_name(XDR *x, char *name, size_t size)
{
	uint32_t n = x->x_op == XDR_ENCODE ? (uint32_t)strlen(name) : 0;

	if (!xdr_uint32_t(x, &n) || n >= size || !xdr_opaque(x, name, n))
		return 0;
	if (x->x_op == XDR_DECODE)
		name[n] = '\0';
	return strlen(name) == n;
}

static int
xdr_info(XDR *x, struct member_info *i)
{
	return xdr_uint32_t(x, &i->address.ip) &&
	       xdr_port(x, &i->address.port) && xdr_port(x, &i->caller_port) &&
	       xdr_port(x, &i->operator_port) &&
	       xdr_name(x, i->datacentre, sizeof i->datacentre) &&
	       xdr_name(x, i->region, sizeof i->region) &&
	       xdr_name(x, i->service, sizeof i->service);
}

static int
xdr_state(XDR *x, enum member_state *state)
{
	uint32_t v = *state;

	if (!xdr_uint32_t(x, &v) || v > MEMBER_LEFT)
		return 0;
	*state = v;
	return 1;
}

static uint32_t
update_flags(const struct member_update *u)
{
	uint32_t flags = u->state;

	if (u->has_info)
		flags |= INFO_FLAG;
	if (u->has_info && u->info.version[0])
		flags |= VERSION_FLAG;
	return flags;
}

/* An empty version is not valid: the flag stands for a known one. */
static int
xdr_version(XDR *x, struct member_info *i)
{
	return xdr_name(x, i->version, sizeof i->version) && i->version[0];
}

static int
xdr_update(XDR *x, struct member_update *u)
{
	uint32_t flags = update_flags(u);

	if (!xdr_uint64_t(x, &u->info.id) || u->info.id == 0 ||
	    !xdr_uint32_t(x, &flags) || !xdr_uint32_t(x, &u->state_seq) ||
	    !xdr_uint32_t(x, &u->info.service_seq))
		return 0;
	if (flags & ~(uint32_t)(STATE_MASK | INFO_FLAG | VERSION_FLAG) ||
	    (flags & STATE_MASK) > MEMBER_LEFT ||
	    (flags & VERSION_FLAG && !(flags & INFO_FLAG)))
		return 0;
	u->state = flags & STATE_MASK;
	u->has_info = (flags & INFO_FLAG) != 0;
	if (u->has_info && !xdr_info(x, &u->info))
		return 0;
	return !(flags & VERSION_FLAG) || xdr_version(x, &u->info);
}

static int
xdr_head(XDR *x, struct member_message *m)
{
	uint32_t kind = m->kind;

	if (!xdr_uint64_t(x, &m->from) || m->from == 0 ||
	    !xdr_uint64_t(x, &m->to) || !xdr_uint32_t(x, &kind) ||
	    kind >= MEMBER_KINDS)
		return 0;
	m->kind = kind;
	return xdr_uint32_t(x, &m->seq) && xdr_uint64_t(x, &m->probed) &&
	       xdr_uint32_t(x, &m->probed_address.ip) &&
	       xdr_port(x, &m->probed_address.port) &&
	       xdr_uint64_t(x, &m->config_version) &&
	       xdr_uint64_t(x, &m->config_digest) &&
	       xdr_uint32_t(x, &m->reading) &&
	       xdr_uint32_t(x, &m->reading_age) &&
	       xdr_state(x, &m->view_state) && xdr_uint32_t(x, &m->view_seq) &&
	       xdr_uint32_t(x, &m->cursor);
}

static int
xdr_count(XDR *x, int *count, int max)
{
	uint32_t v = (uint32_t)*count;

	if (!xdr_uint32_t(x, &v) || v > (uint32_t)max)
		return 0;
	*count = (int)v;
	return 1;
}

static int
xdr_note(XDR *x, struct member_note *n)
{
	return xdr_uint64_t(x, &n->id) && n->id != 0 &&
	       xdr_uint32_t(x, &n->age_ms) && xdr_uint32_t(x, &n->keep_ms) &&
	       xdr_uint32_t(x, &n->len) && n->len <= sizeof n->data &&
	       xdr_opaque(x, (char *)n->data, n->len);
}

/* Notes are at the end, and only where there are any. */
static int
xdr_notes(XDR *x, struct member_message *m, int present)
{
	int i;

	if (!present)
		return 1;
	if (!xdr_count(x, &m->nnote, MEMBER_NOTES_MAX) || !m->nnote)
		return 0;
	for (i = 0; i < m->nnote; i++)
		if (!xdr_note(x, &m->note[i]))
			return 0;
	return 1;
}

static int
xdr_message(XDR *x, struct member_message *m)
{
	int i;

	if (!xdr_head(x, m) || !xdr_count(x, &m->nupdate, MEMBER_UPDATES_MAX) ||
	    !xdr_count(x, &m->nwant, MEMBER_WANTS_MAX))
		return 0;
	for (i = 0; i < m->nupdate; i++) {
		if (!xdr_update(x, &m->update[i]))
			return 0;
	}
	for (i = 0; i < m->nwant; i++) {
		if (!xdr_uint64_t(x, &m->want[i]) || m->want[i] == 0)
			return 0;
	}
	return 1;
}

size_t
member_message_encode(const struct member_message *m, unsigned char *buf,
    size_t size)
{
	XDR x;
	size_t n = 0;

	xdrmem_create(&x, (char *)buf, (u_int)size, XDR_ENCODE);
	/* The cast is safe: XDR_ENCODE does not modify the message. */
	if (xdr_message(&x, (struct member_message *)m) &&
	    xdr_notes(&x, (struct member_message *)m, m->nnote > 0))
		n = xdr_getpos(&x);
	xdr_destroy(&x);
	return n;
}

size_t
member_message_decode(struct member_message *m, const unsigned char *buf,
    size_t n)
{
	XDR x;
	size_t used = 0;

	memset(m, 0, sizeof *m);
	xdrmem_create(&x, (char *)buf, (u_int)n, XDR_DECODE);
	if (xdr_message(&x, m) && xdr_notes(&x, m, xdr_getpos(&x) < n))
		used = xdr_getpos(&x);
	xdr_destroy(&x);
	return used;
}
