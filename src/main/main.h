/* The subcommands of the binary and their exit statuses. */
#ifndef DL_MAIN_MAIN_H
#define DL_MAIN_MAIN_H

#define DL_VERSION "0.1.0"

/* Exit statuses, the same for every subcommand; see daisyledge(1). */
enum dl_exit {
	DL_EXIT_OK = 0,
	DL_EXIT_FAULT = 1,     /* the configuration or the request is invalid */
	DL_EXIT_USAGE = 2,     /* invalid command line */
	DL_EXIT_CONFLICT = 3,  /* another change was committed first */
	DL_EXIT_UNREACHED = 4, /* no answer, or no quorum */
	DL_EXIT_WAITING = 5,   /* accepted, not yet in force on every VM */
};

struct dl_subcommand {
	const char *name;
	int (*run)(int argc, char **argv);
	const char *help;
};

int dl_main_version(int argc, char **argv);
int dl_main_entry(int argc, char **argv);
int dl_main_replica(int argc, char **argv);
int dl_main_rescue(int argc, char **argv);

/* Returns the path of the settings, or NULL after printing an error. */
char *dl_main_settings_option(int *argc, char ***argv);
int dl_main_check(int argc, char **argv);
int dl_main_apply(int argc, char **argv);
int dl_main_evacuate(int argc, char **argv);
int dl_main_get(int argc, char **argv);
int dl_main_history(int argc, char **argv);
int dl_main_status(int argc, char **argv);
int dl_main_explain(int argc, char **argv);

#endif
