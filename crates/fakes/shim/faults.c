/* LD_PRELOAD library that injects faults into the system calls of one process: failures and short reads and
 * writes that the Linux manual allows for sockets, and slow disk syncs.
 *
 * UMBERTRAY_FAULTS="seed=1 eintr=30 short_read=200 short_write=200 transient=50": rates per thousand calls.
 * Of the calls that transfer data only those on TCP sockets are affected. `transient` is the rate at which
 * accept4 fails with ECONNABORTED, ENOBUFS, ENFILE or ENETUNREACH, chosen at random; socket fails with ENFILE
 * and connect with ENETUNREACH at a quarter of it.
 *
 * "sync_ms=200 sync_every=4": every fourth call of fsync or fdatasync takes 200 ms longer, as on a disk that
 * other processes write to.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

static unsigned eintr, short_read, short_write, transient, sync_ms, sync_every;
static atomic_ullong random_state;
static atomic_uint sync_calls;

/* The number that follows `name` in `text`; 0 if the name is missing. */
static unsigned parse_field(const char *text, const char *name) {
    const char *found = text ? strstr(text, name) : NULL;
    return found ? (unsigned)strtoul(found + strlen(name), NULL, 10) : 0;
}

__attribute__((constructor)) static void read_settings(void) {
    const char *text = getenv("UMBERTRAY_FAULTS");
    eintr = parse_field(text, "eintr="), short_read = parse_field(text, "short_read=");
    short_write = parse_field(text, "short_write="), transient = parse_field(text, "transient=");
    sync_ms = parse_field(text, "sync_ms="), sync_every = parse_field(text, "sync_every=");
    atomic_store(&random_state, 0x9e3779b97f4a7c15ull * (parse_field(text, "seed=") + 1));
}

/* The next number of a splitmix64 generator. */
static unsigned long long next_random(void) {
    unsigned long long x = atomic_fetch_add(&random_state, 0x9e3779b97f4a7c15ull);
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ull;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebull;
    return x ^ (x >> 31);
}

/* Returns true at random, at a rate of `permille` per thousand calls. */
static int occurs(unsigned permille) { return permille && next_random() % 1000 < permille; }

static int is_tcp(int fd) {
    int domain = 0;
    socklen_t length = sizeof domain;
    int saved_errno = errno;
    int is_inet = getsockopt(fd, SOL_SOCKET, SO_DOMAIN, &domain, &length) == 0 && domain == AF_INET;
    errno = saved_errno;
    return is_inet;
}

static int interrupted(int fd) {
    if (is_tcp(fd) && occurs(eintr)) {
        errno = EINTR;
        return 1;
    }
    return 0;
}

/* `length`, or at the given rate 1 to 7 bytes of it. */
static size_t shortened(int fd, size_t length, unsigned permille) {
    return length > 1 && is_tcp(fd) && occurs(permille)
        ? 1 + next_random() % (length < 7 ? length : 7)
        : length;
}

static int fails_transiently(void) {
    static const int errors[] = {ECONNABORTED, ENOBUFS, ENFILE, ENETUNREACH};
    if (!occurs(transient)) return 0;
    errno = errors[next_random() % 4];
    return 1;
}

static void delay_sync(void) {
    if (!sync_ms || !sync_every || atomic_fetch_add(&sync_calls, 1) % sync_every) return;
    struct timespec remaining = {sync_ms / 1000, (long)(sync_ms % 1000) * 1000000};
    while (nanosleep(&remaining, &remaining) == -1 && errno == EINTR) {}
}

#define REAL(name) static __typeof__(&name) real; if (!real) real = (__typeof__(&name))dlsym(RTLD_NEXT, #name)

ssize_t recv(int fd, void *to, size_t length, int flags) {
    REAL(recv);
    return interrupted(fd) ? -1 : real(fd, to, shortened(fd, length, short_read), flags);
}

ssize_t read(int fd, void *to, size_t length) {
    REAL(read);
    return interrupted(fd) ? -1 : real(fd, to, shortened(fd, length, short_read));
}

ssize_t send(int fd, const void *from, size_t length, int flags) {
    REAL(send);
    return interrupted(fd) ? -1 : real(fd, from, shortened(fd, length, short_write), flags);
}

ssize_t write(int fd, const void *from, size_t length) {
    REAL(write);
    return interrupted(fd) ? -1 : real(fd, from, shortened(fd, length, short_write));
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    REAL(writev);
    if (interrupted(fd)) return -1;
    if (count > 0 && is_tcp(fd) && occurs(short_write)) {
        return send(fd, parts[0].iov_base, parts[0].iov_len, MSG_NOSIGNAL);
    }
    return real(fd, parts, count);
}

int accept4(int fd, struct sockaddr *from, socklen_t *length, int flags) {
    REAL(accept4);
    if (interrupted(fd) || fails_transiently()) return -1;
    return real(fd, from, length, flags);
}

int socket(int domain, int type, int protocol) {
    REAL(socket);
    if (domain == AF_INET && (type & 0xf) == SOCK_STREAM && occurs(transient / 4)) {
        errno = ENFILE;
        return -1;
    }
    return real(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *to, socklen_t length) {
    REAL(connect);
    if (is_tcp(fd) && occurs(transient / 4)) {
        errno = ENETUNREACH;
        return -1;
    }
    return real(fd, to, length);
}

int fsync(int fd) {
    REAL(fsync);
    delay_sync();
    return real(fd);
}

int fdatasync(int fd) {
    REAL(fdatasync);
    delay_sync();
    return real(fd);
}
