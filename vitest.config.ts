import { defineConfig } from "vitest/config";

export default defineConfig({
    test: {
        include: ["test/**/*.test.ts"],
        pool: "forks",
        maxWorkers: 4,
        testTimeout: 30_000,
        hookTimeout: 30_000,
    },
});
