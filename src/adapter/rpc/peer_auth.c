#include <sodium.h>
#include <string.h>

#include "peer_impl.h"

uint32_t
peer_key_id(const unsigned char *key)
{
	unsigned char h[crypto_generichash_BYTES_MIN];
	uint32_t id;

	crypto_generichash(h, sizeof h, (const unsigned char *)"key id", 6, key,
	    PEER_KEY_LEN);
	memcpy(&id, h, sizeof id);
	return id;
}

/* Derives a connection's MAC key from a fleet key and both ends' nonces. */
void
peer_key_derive(unsigned char *out, const unsigned char *key,
    const unsigned char *connector, const unsigned char *acceptor)
{
	crypto_generichash_state s;

	crypto_generichash_init(&s, key, PEER_KEY_LEN, PEER_KEY_LEN);
	crypto_generichash_update(&s, connector, WIRE_NONCE_LEN);
	crypto_generichash_update(&s, acceptor, WIRE_NONCE_LEN);
	crypto_generichash_final(&s, out, PEER_KEY_LEN);
}

/* Computes the MAC of direction, sequence number and record; the verifier body
 * at offset @verf of the record counts as zeros. */
void
peer_mac(unsigned char *mac, const unsigned char *key, int dir, uint64_t seq,
    const void *rec, size_t len, size_t verf)
{
	static const unsigned char zero[PEER_MAC_LEN];
	const unsigned char *p = rec;
	crypto_generichash_state s;
	unsigned char pre[9];
	int i;

	pre[0] = dir;
	for (i = 0; i < 8; i++)
		pre[1 + i] = seq >> 8 * i;
	crypto_generichash_init(&s, key, PEER_KEY_LEN, PEER_MAC_LEN);
	crypto_generichash_update(&s, pre, sizeof pre);
	crypto_generichash_update(&s, p, verf);
	crypto_generichash_update(&s, zero, sizeof zero);
	crypto_generichash_update(&s, p + verf + PEER_MAC_LEN,
	    len - verf - PEER_MAC_LEN);
	crypto_generichash_final(&s, mac, PEER_MAC_LEN);
}
