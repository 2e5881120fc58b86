#ifndef KQ_ERROR_H
#define KQ_ERROR_H

/**
 * DOC: Errors returned through a pointer.
 *
 * A function that can fail takes a pointer to a struct kq_error, fills it in
 * and returns -1 (or NULL). A layer that passes on an error of a lower layer
 * turns it into one of its own with kq_error_wrap().
 */

enum kq_layer {
	KQ_LAYER_NONE,
	KQ_LAYER_CORE,
	KQ_LAYER_CONFIG,
	KQ_LAYER_IO,
	KQ_LAYER_HTTP,
	KQ_LAYER_RPC,
	KQ_LAYER_PLATFORM,
	KQ_LAYER_DAEMON,
	KQ_LAYER_TOOL
};

#define KQ_ERROR_TEXT_MAX 256 /* bytes with the final NUL */

/**
 * struct kq_error - description of a failure
 * @layer: layer that reports the error
 * @code: code within that layer, from the layer's own enum; 0 is no error
 * @line: line in the input, counted from 1; 0 if there is none
 * @column: column in the input, counted from 1; 0 if there is none
 * @text: message for a person, NUL-terminated
 */
struct kq_error {
	enum kq_layer layer;
	int code;
	int line;
	int column;
	char text[KQ_ERROR_TEXT_MAX];
};

/**
 * kq_error_set() - fill in an error; a NULL pointer is allowed
 * Return: always -1, so that a caller can return it.
 */
int kq_error_set(struct kq_error *, enum kq_layer layer, int code,
    const char *fmt, ...) __attribute__((format(printf, 4, 5)));

/**
 * kq_error_wrap() - turn an error of a lower layer into one of the caller's
 *
 * The message is put before that of the lower layer; line and column are kept.
 * A NULL pointer is allowed.
 * Return: always -1.
 */
int kq_error_wrap(struct kq_error *, enum kq_layer layer, int code,
    const char *fmt, ...) __attribute__((format(printf, 4, 5)));

/** kq_layer_name() - short name of a layer, for logs and tools */
const char *kq_layer_name(enum kq_layer layer);

#endif
