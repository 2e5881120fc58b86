#include "pack.h"

#define LEVEL \
	1 /* the fastest; text with repeated keys gets small all the same */

/* Converts bytes to at most @size bytes. Returns NULL, with the error set, if
 * they do not fit or are not whole. */
static GBytes *
convert(GConverter *z, GBytes *in, size_t size, GError **err)
{
	gsize n, used = 0, read, written, length = 0;
	const guint8 *p = g_bytes_get_data(in, &n);
	guint8 *out = g_malloc(size + 1);
	GConverterResult r;

	do {
		r = g_converter_convert(z, p + used, n - used, out + length,
		    size + 1 - length, G_CONVERTER_INPUT_AT_END, &read,
		    &written, err);
		if (r == G_CONVERTER_ERROR)
			break;
		used += read;
		length += written;
	} while (r != G_CONVERTER_FINISHED && length <= size);
	if (r != G_CONVERTER_FINISHED || length > size) {
		g_free(out);
		return NULL;
	}
	return g_bytes_new_take(g_realloc(out, MAX(length, 1)), length);
}

GBytes *
pack_bytes(GBytes *b)
{
	GConverter *z = G_CONVERTER(
	    g_zlib_compressor_new(G_ZLIB_COMPRESSOR_FORMAT_RAW, LEVEL));
	gsize n = g_bytes_get_size(b);
	GBytes *packed = n ? convert(z, b, n - 1, NULL) : NULL;

	g_object_unref(z);
	return packed;
}

GBytes *
unpack_bytes(GBytes *b, size_t size, struct kq_error *e)
{
	GConverter *z =
	    G_CONVERTER(g_zlib_decompressor_new(G_ZLIB_COMPRESSOR_FORMAT_RAW));
	GError *err = NULL;
	GBytes *out = convert(z, b, size, &err);

	g_object_unref(z);
	if (out && g_bytes_get_size(out) == size)
		return out;
	kq_error_set(e, KQ_LAYER_RPC, 1,
	    "compressed value is not a stream of %zu bytes: %s", size,
	    err ? err->message : "another size");
	g_clear_error(&err);
	if (out)
		g_bytes_unref(out);
	return NULL;
}
