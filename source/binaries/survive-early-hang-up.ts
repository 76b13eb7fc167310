/**
Keeps a process alive that gets SIGHUP while its modules are still loaded.

Without a handler SIGHUP ends a process. It says that the settings file has changed, and the
file is read only after all modules have been loaded, so there is nothing else to do yet.

Imported for its effect, before everything else:

@example
```
import './survive-early-hang-up.js';
```
*/
import process from 'node:process';

process.on('SIGHUP', () => {
	// The settings are read later.
});
