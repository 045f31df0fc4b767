/* Unpacks the folder that is appended to this file once, then becomes the program in it.
 *
 * The file ends with: entries, their total size (8 bytes), the folder's digest (16 hexadecimal
 * characters). An entry is: length of its name (4 bytes), mode (4), size (8), name, content.
 * Numbers are little-endian. No process is started: execv keeps the process id. */

#include <errno.h>
#include <fcntl.h>
#include <limits.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#define DIGEST 16
#define PROGRAM "hickorylever"

static void fail(const char *what) {
    fprintf(stderr, PROGRAM ": %s: %s\n", what, strerror(errno));
    exit(1);
}

static void take(FILE *file, void *into, size_t size) {
    if (fread(into, 1, size, file) != size)
        fail("the file is cut short");
}

/* Make the folders of a path below `root`. */
static void make_folders(char *path, size_t root) {
    for (char *slash = path + root + 1; (slash = strchr(slash, '/')); slash++) {
        *slash = 0;
        if (mkdir(path, 0700) && errno != EEXIST)
            fail(path);
        *slash = '/';
    }
}

static void unpack_entry(FILE *file, const char *root, uint64_t *left) {
    uint32_t length, mode;
    uint64_t size;
    char name[PATH_MAX], path[PATH_MAX];
    static char buffer[1 << 16];
    take(file, &length, sizeof length);
    take(file, &mode, sizeof mode);
    take(file, &size, sizeof size);
    if (length >= sizeof name)
        fail("a name is too long");
    take(file, name, length);
    name[length] = 0;
    if (snprintf(path, sizeof path, "%s/%s", root, name) >= (int)sizeof path)
        fail("a name is too long");
    make_folders(path, strlen(root));
    int out = open(path, O_WRONLY | O_CREAT | O_EXCL, mode & 0700);
    if (out < 0)
        fail(path);
    *left -= sizeof length + sizeof mode + sizeof size + length + size;
    while (size) {
        size_t piece = size < sizeof buffer ? size : sizeof buffer;
        take(file, buffer, piece);
        if (write(out, buffer, piece) != (ssize_t)piece)
            fail(path);
        size -= piece;
    }
    if (close(out))
        fail(path);
}

/* Refuse a folder that somebody else could have written. */
static void check_owner(const char *path) {
    struct stat found;
    if (lstat(path, &found))
        fail(path);
    if (!S_ISDIR(found.st_mode) || found.st_uid != geteuid() || (found.st_mode & 077)) {
        errno = EPERM;
        fail(path);
    }
}

int main(int argc, char **argv) {
    (void)argc;
    char digest[DIGEST + 1] = "", root[PATH_MAX - 64], work[PATH_MAX], program[PATH_MAX];
    uint64_t size;
    const char *base = getenv("HICKORYLEVER_CACHE");
    if (!base)
        base = getenv("TMPDIR");
    FILE *file = fopen("/proc/self/exe", "rb");
    if (!file || fseek(file, -(long)(sizeof size + DIGEST), SEEK_END))
        fail("/proc/self/exe");
    take(file, &size, sizeof size);
    take(file, digest, DIGEST);
    int room = snprintf(root, sizeof root, "%s/" PROGRAM "-%u-%s", base ? base : "/tmp",
                        (unsigned)geteuid(), digest);
    if (room >= (int)sizeof root)
        fail("the cache's name is too long");
    snprintf(program, sizeof program, "%s/" PROGRAM, root);
    if (access(root, F_OK)) {
        snprintf(work, sizeof work, "%s.XXXXXX", root);
        if (!mkdtemp(work) || fseek(file, -(long)(sizeof size + DIGEST + size), SEEK_END))
            fail(work);
        while (size)
            unpack_entry(file, work, &size);
        /* Another process may have been first; its copy is the same. */
        if (rename(work, root) && errno != EEXIST && errno != ENOTEMPTY)
            fail(root);
    }
    fclose(file);
    check_owner(root);
    execv(program, argv);
    fail(program);
}
