"""Entry point of `python -m liftrill`."""

import sys

from liftrill.cli.main import main

if __name__ == "__main__":
    sys.argv[0] = "liftrill"
    main()
