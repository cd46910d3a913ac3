process.stdout.write("skylarkmill\n");
