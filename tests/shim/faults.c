/*
 * Fault injection for tests: a library that is preloaded (LD_PRELOAD) into one process and makes some of its system
 * calls fail in ways that Linux documents. Nothing that ships depends on it.
 *
 * RUSHQUAY_FAULTS  what fails: rules, separated by ';', each CALL:KIND=PROBABILITY. CALL is one of accept, connect, socket,
 *                  recv, send, poll, sync, write, proc (what the machine says of its processes is opened), open (another file is opened to be
 *                  read); KIND is an errno by name, or `short` (recv, send: one byte at most is
 *                  moved). `seed=N` sets the seed of the draws, `step=S/P` steps the wall clock by S seconds, forward and back
 *                  in turn, every P seconds; `jump=S` has the wall clock S seconds ahead for as long as faults are injected; `ahead=S`
 *                  has it S seconds ahead (below 0: behind) as long as the process runs.
 * RUSHQUAY_FAULTS_WHEN  a file: faults are injected only while it exists (looked at every 5 ms). Without: always.
 * RUSHQUAY_FAULTS_LOG   a file: each fault is appended as a line "seconds call kind".
 *
 * A call that is made to fail has no effect, as the manual pages say of the errors that are injected here.
 */
#define _GNU_SOURCE
#include <dirent.h>
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

enum call { ACCEPT, CONNECT, SOCKET, RECV, SEND, POLL, SYNC, WRITE, PROC, OPEN, CALLS };
static const char *const CALL_NAMES[CALLS] = {"accept", "connect", "socket", "recv", "send",
                                              "poll",   "sync",    "write",  "proc", "open"};

struct error_name {
    const char *name;
    int number;
};
static const struct error_name ERRORS[] = {
    {"EINTR", EINTR},           {"ECONNABORTED", ECONNABORTED}, {"EMFILE", EMFILE},
    {"ENFILE", ENFILE},         {"ENOBUFS", ENOBUFS},           {"ENOMEM", ENOMEM},
    {"EADDRNOTAVAIL", EADDRNOTAVAIL}, {"ENETUNREACH", ENETUNREACH}, {"EHOSTUNREACH", EHOSTUNREACH},
    {"ETIMEDOUT", ETIMEDOUT},   {"EPROTO", EPROTO},             {"EPERM", EPERM},
    {"ENOSPC", ENOSPC},         {"EIO", EIO},                   {"ECONNREFUSED", ECONNREFUSED},
    {"ECONNRESET", ECONNRESET}, {"short", -1},
};

#define RULES_MOST 32
struct rule {
    enum call call;
    int kind;
    const char *name;
    double probability;
};

static struct rule rules[RULES_MOST];
static int rule_count;
static double step_seconds, step_period, jump_seconds, ahead_seconds;
static const char *when_file;
static int log_fd = -1;
static uint64_t random_state = 1;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct timespec started;

static long raw_clock(clockid_t clock, struct timespec *to) { return syscall(SYS_clock_gettime, clock, to); }

static double since_start(void) {
    struct timespec now;
    raw_clock(CLOCK_MONOTONIC, &now);
    return (double)(now.tv_sec - started.tv_sec) + (double)(now.tv_nsec - started.tv_nsec) / 1e9;
}

static void add_rule(char *text) {
    char *kind = strchr(text, ':');
    char *value = kind ? strchr(kind, '=') : NULL;
    if (!kind || !value || rule_count == RULES_MOST) {
        fprintf(stderr, "faults: no rule: %s\n", text);
        _exit(97);
    }
    *kind++ = 0;
    *value++ = 0;
    for (int c = 0; c < CALLS; c++) {
        if (strcmp(CALL_NAMES[c], text) != 0)
            continue;
        for (size_t e = 0; e < sizeof ERRORS / sizeof *ERRORS; e++) {
            if (strcmp(ERRORS[e].name, kind) == 0) {
                rules[rule_count++] = (struct rule){(enum call)c, ERRORS[e].number, ERRORS[e].name, atof(value)};
                return;
            }
        }
    }
    fprintf(stderr, "faults: unknown rule: %s:%s\n", text, kind);
    _exit(97);
}

__attribute__((constructor)) static void begin(void) {
    raw_clock(CLOCK_MONOTONIC, &started);
    const char *told = getenv("RUSHQUAY_FAULTS");
    when_file = getenv("RUSHQUAY_FAULTS_WHEN");
    const char *log = getenv("RUSHQUAY_FAULTS_LOG");
    if (log)
        log_fd = (int)syscall(SYS_openat, AT_FDCWD, log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (!told)
        return;
    char *text = strdup(told), *rest = NULL;
    for (char *part = strtok_r(text, ";", &rest); part; part = strtok_r(NULL, ";", &rest)) {
        if (strncmp(part, "seed=", 5) == 0)
            random_state = strtoull(part + 5, NULL, 10) * 2654435761u + 1;
        else if (strncmp(part, "step=", 5) == 0)
            sscanf(part + 5, "%lf/%lf", &step_seconds, &step_period);
        else if (strncmp(part, "jump=", 5) == 0)
            jump_seconds = atof(part + 5);
        else if (strncmp(part, "ahead=", 6) == 0)
            ahead_seconds = atof(part + 6);
        else
            add_rule(part);
    }
}

static double draw(void) {
    random_state ^= random_state << 13;
    random_state ^= random_state >> 7;
    random_state ^= random_state << 17;
    return (double)(random_state >> 11) / (double)(1ULL << 53);
}

static int is_on(void) {
    static double looked = -1;
    static int on;
    if (!when_file)
        return 1;
    double now = since_start();
    if (looked < 0 || now - looked > 0.005) {
        looked = now;
        on = syscall(SYS_faccessat, AT_FDCWD, when_file, F_OK) == 0;
    }
    return on;
}

/* What is to happen to this call: 0 nothing, -1 a short transfer, else an errno. */
static int fate(enum call call) {
    int kind = 0;
    const char *name = NULL;
    int saved = errno;
    pthread_mutex_lock(&lock);
    for (int r = 0; r < rule_count && !kind; r++) {
        if (rules[r].call == call && is_on() && draw() < rules[r].probability) {
            kind = rules[r].kind;
            name = rules[r].name;
        }
    }
    if (kind && log_fd >= 0) {
        char line[96];
        int n = snprintf(line, sizeof line, "%.6f %s %s\n", since_start(), CALL_NAMES[call], name);
        syscall(SYS_write, log_fd, line, (size_t)n);
    }
    pthread_mutex_unlock(&lock);
    errno = saved;
    return kind;
}

static int is_socket(int fd) {
    int type;
    socklen_t length = sizeof type;
    int saved = errno;
    int is = syscall(SYS_getsockopt, fd, SOL_SOCKET, SO_TYPE, &type, &length) == 0;
    errno = saved;
    return is;
}

static int is_file(int fd) {
    struct stat found;
    int saved = errno;
    int is = fstat(fd, &found) == 0 && S_ISREG(found.st_mode);
    errno = saved;
    return is;
}

#define REAL(name) ((__typeof__(&name))dlsym(RTLD_NEXT, #name))
#define FAIL_IF(call)                                                                                                  \
    do {                                                                                                               \
        int fault = fate(call);                                                                                        \
        if (fault > 0) {                                                                                               \
            errno = fault;                                                                                             \
            return -1;                                                                                                 \
        }                                                                                                              \
    } while (0)
/* Fails, or bounds the length of the transfer. */
#define FAIL_OR_SHORTEN(call, length)                                                                                  \
    do {                                                                                                               \
        int fault = fate(call);                                                                                        \
        if (fault > 0) {                                                                                               \
            errno = fault;                                                                                             \
            return -1;                                                                                                 \
        }                                                                                                              \
        if (fault < 0 && (length) > 1)                                                                                 \
            (length) = 1;                                                                                              \
    } while (0)

int accept(int fd, struct sockaddr *addr, socklen_t *length) {
    FAIL_IF(ACCEPT);
    return REAL(accept)(fd, addr, length);
}

int accept4(int fd, struct sockaddr *addr, socklen_t *length, int flags) {
    FAIL_IF(ACCEPT);
    return REAL(accept4)(fd, addr, length, flags);
}

int socket(int domain, int type, int protocol) {
    if (domain == AF_INET || domain == AF_INET6)
        FAIL_IF(SOCKET);
    return REAL(socket)(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *addr, socklen_t length) {
    if (addr && (addr->sa_family == AF_INET || addr->sa_family == AF_INET6))
        FAIL_IF(CONNECT);
    return REAL(connect)(fd, addr, length);
}

ssize_t recv(int fd, void *to, size_t length, int flags) {
    if (!(flags & MSG_PEEK))
        FAIL_OR_SHORTEN(RECV, length);
    else
        FAIL_IF(RECV);
    return REAL(recv)(fd, to, length, flags);
}

ssize_t read(int fd, void *to, size_t length) {
    struct sockaddr_in addr;
    socklen_t size = sizeof addr;
    int saved = errno;
    int internet = getsockname(fd, (struct sockaddr *)&addr, &size) == 0 && addr.sin_family == AF_INET;
    errno = saved;
    if (internet)
        FAIL_OR_SHORTEN(RECV, length);
    return REAL(read)(fd, to, length);
}

ssize_t send(int fd, const void *from, size_t length, int flags) {
    FAIL_OR_SHORTEN(SEND, length);
    return REAL(send)(fd, from, length, flags);
}

ssize_t write(int fd, const void *from, size_t length) {
    if (is_file(fd))
        FAIL_IF(WRITE);
    return REAL(write)(fd, from, length);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    if (is_socket(fd)) {
        int fault = fate(SEND);
        if (fault > 0) {
            errno = fault;
            return -1;
        }
        if (fault < 0)
            for (int n = 0; n < count; n++)
                if (parts[n].iov_len > 0)
                    return REAL(write)(fd, parts[n].iov_base, 1);
    }
    return REAL(writev)(fd, parts, count);
}

ssize_t pwrite64(int fd, const void *from, size_t length, off64_t at) {
    FAIL_IF(WRITE);
    return REAL(pwrite64)(fd, from, length, at);
}

ssize_t pwrite(int fd, const void *from, size_t length, off_t at) {
    FAIL_IF(WRITE);
    return REAL(pwrite)(fd, from, length, at);
}

static int is_proc(const char *path) { return strncmp(path, "/proc", 5) == 0 && (path[5] == '/' || !path[5]); }

int open64(const char *path, int flags, ...) {
    mode_t mode = 0;
    if (flags & (O_CREAT | O_TMPFILE)) {
        va_list more;
        va_start(more, flags);
        mode = va_arg(more, mode_t);
        va_end(more);
    }
    if (is_proc(path))
        FAIL_IF(PROC);
    else if ((flags & O_ACCMODE) == O_RDONLY)
        FAIL_IF(OPEN);
    return REAL(open64)(path, flags, mode);
}

DIR *opendir(const char *path) {
    int fault = is_proc(path) ? fate(PROC) : 0;
    if (fault > 0) {
        errno = fault;
        return NULL;
    }
    return REAL(opendir)(path);
}

int fsync(int fd) {
    FAIL_IF(SYNC);
    return REAL(fsync)(fd);
}

int fdatasync(int fd) {
    FAIL_IF(SYNC);
    return REAL(fdatasync)(fd);
}

int epoll_wait(int fd, struct epoll_event *events, int most, int timeout) {
    FAIL_IF(POLL);
    return REAL(epoll_wait)(fd, events, most, timeout);
}

static double step_now(void) {
    double jump = ahead_seconds;
    if (jump_seconds != 0) {
        int saved = errno;
        pthread_mutex_lock(&lock);
        jump += is_on() ? jump_seconds : 0;
        pthread_mutex_unlock(&lock);
        errno = saved;
    }
    if (step_period <= 0)
        return jump;
    return jump + (((long)(since_start() / step_period) & 1) ? step_seconds : 0);
}

int clock_gettime(clockid_t clock, struct timespec *to) {
    int done = REAL(clock_gettime)(clock, to);
    if (done == 0 && clock == CLOCK_REALTIME)
        to->tv_sec += (time_t)step_now();
    return done;
}

int gettimeofday(struct timeval *to, void *zone) {
    int done = REAL(gettimeofday)(to, zone);
    if (done == 0)
        to->tv_sec += (time_t)step_now();
    return done;
}

time_t time(time_t *to) {
    time_t now = REAL(time)(NULL) + (time_t)step_now();
    if (to)
        *to = now;
    return now;
}
