#ifndef AGB_CTL_ARGS_H
#define AGB_CTL_ARGS_H

/**
 * DOC: ctl_args
 *
 * The command line of agatectl, read with argtable2.
 */

#include "ctl.h"
#include "settings.h"

/**
 * struct agb_ctl_options - a command line
 * @run: the command; NULL when only help was asked for
 * @args: its arguments, which point into argv
 * @json: results as JSON
 * @store_addrs: addresses of the store, @store_addrs_len of them
 * @entry_addr: address of an entry instance, or ""
 */
struct agb_ctl_options {
	agb_ctl_command_fn run;
	struct agb_ctl_args args;
	bool json;
	agb_addr store_addrs[AGB_STORE_ENDPOINTS_MAX];
	size_t store_addrs_len;
	agb_addr entry_addr;
};

/**
 * agb_ctl_args_parse() - read a command line
 * @argv: must stay valid while @out is in use
 * @out: filled in
 * @help: gets the text that --help asks for
 * @err: gets what is wrong
 * Return: AGB_CTL_OK or AGB_CTL_BAD_INPUT.
 */
enum agb_ctl_exit agb_ctl_args_parse(
    int argc, char **argv, struct agb_ctl_options *out, FILE *help, FILE *err);

#endif
