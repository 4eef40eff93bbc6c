/* Wrappers of system calls, to be preloaded.
   Failures: FAILING_CALLS lists calls by name, errno and interval. " recv=4/3 send=105/7" makes every third
   recv fail with errno 4 and every seventh send with errno 105.
   Clock: the file named by CLOCK_AHEAD_FILE contains the number of milliseconds by which the wall clock is
   ahead, as a signed integer of eight bytes in native byte order. It is mapped into memory and read at each
   call. The file must not be truncated while the program runs, so a new value has to be written in place: if
   the file is empty when it is read, SIGBUS kills the program. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

/* A wrapped call. The interval is 0 before FAILING_CALLS is read, and negative if the call never fails. */
struct call {
    const char *name;
    int error, interval;
    atomic_int count;
};

static int fails(struct call *call)
{
    if (!call->interval) {
        char prefix[32], *entry = getenv("FAILING_CALLS");
        snprintf(prefix, sizeof prefix, " %s=", call->name);
        entry = entry ? strstr(entry, prefix) : NULL;
        if (!entry || sscanf(entry + strlen(prefix), "%d/%d", &call->error, &call->interval) != 2)
            call->interval = -1;
    }
    if (call->interval < 0 || atomic_fetch_add(&call->count, 1) % call->interval != call->interval - 1)
        return 0;
    errno = call->error;
    return 1;
}

/* The signal handler writes to a Unix socket pair, and a write that fails there is not repeated. So send is
   exempt on Unix sockets. */
static int is_unix(int fd)
{
    int domain = 0;
    socklen_t n = sizeof domain;
    return !getsockopt(fd, SOL_SOCKET, SO_DOMAIN, &domain, &n) && domain == AF_UNIX;
}

/* Defines a wrapper of a C library function. A call for which `exempt` is true is never made to fail. */
#define CALL(type, function, parameters, exempt, ...)                     \
    type function parameters                                         \
    {                                                                \
        static struct call call = { .name = #function };             \
        static type(*real) parameters;                               \
        if (!real)                                                   \
            *(void **)&real = dlsym(RTLD_NEXT, #function);           \
        return !(exempt) && fails(&call) ? -1 : real(__VA_ARGS__);   \
    }

CALL(ssize_t, read, (int fd, void *to, size_t n), 0, fd, to, n)
CALL(ssize_t, recv, (int fd, void *to, size_t n, int flags), 0, fd, to, n, flags)
CALL(ssize_t, send, (int fd, const void *from, size_t n, int flags), is_unix(fd), fd, from, n, flags)
CALL(ssize_t, writev, (int fd, const struct iovec *parts, int n), 0, fd, parts, n)
CALL(int, accept4, (int fd, struct sockaddr *from, socklen_t *n, int flags), 0, fd, from, n, flags)

int clock_gettime(clockid_t clock, struct timespec *time)
{
    static volatile int64_t *ahead, none;
    if (!ahead) {
        char *path = getenv("CLOCK_AHEAD_FILE");
        int fd = path ? open(path, O_RDONLY) : -1;
        void *mapped = fd < 0 ? MAP_FAILED : mmap(NULL, sizeof *ahead, PROT_READ, MAP_SHARED, fd, 0);
        ahead = mapped == MAP_FAILED ? &none : mapped;
    }
    int result = syscall(SYS_clock_gettime, clock, time);
    if (clock == CLOCK_REALTIME) {
        int64_t ns = time->tv_sec * 1000000000LL + time->tv_nsec + *ahead * 1000000;
        time->tv_sec = ns / 1000000000;
        time->tv_nsec = ns % 1000000000;
    }
    return result;
}
