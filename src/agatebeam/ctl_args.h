#ifndef AGB_CTL_ARGS_H
#define AGB_CTL_ARGS_H

/**
 * DOC: ctl_args
 *
 * Command line parser of agatectl, built on argtable2.
 */

#include "ctl.h"
#include "settings.h"

/**
 * struct agb_ctl_options - parsed command line
 * @run: the command; NULL when help was requested or parsing failed
 * @args: its arguments, which point into argv
 * @json: print results as JSON
 * @store_addrs: addresses of the store's endpoints, @store_addrs_len of them
 * @entry_addr: address of an entry instance; "" when not given
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
 * agb_ctl_args_parse() - parse a command line
 * @argv: must stay valid while @out is in use
 * @out: filled in
 * @help: stream for the help text that --help requests
 * @err: stream for error messages
 *
 * Return: AGB_CTL_OK, also when help was requested, or AGB_CTL_BAD_INPUT.
 */
enum agb_ctl_exit agb_ctl_args_parse(
    int argc, char **argv, struct agb_ctl_options *out, FILE *help, FILE *err);

#endif
