package main

import (
	"os"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/operator"
)

// connection holds the daemons' addresses and the credentials to use. Keys come
// from files or the environment, never from arguments: other users of the
// machine can list those.
type connection struct {
	addresses  []string
	keyFile    string
	secretFile string
	authority  string
}

const keyVariable = "HYSSOPSAIL_KEY"

func (c *connection) addFlags(parser *kingpin.Application) {
	parser.Flag("address", "Operators' listener of a daemon, ip:port. Repeat it: the next one is asked when one can't answer.").
		Short('a').Envar("HYSSOPSAIL_ADDRESS").PlaceHolder("IP:PORT").StringsVar(&c.addresses)
	parser.Flag("key-file", "File with your operator's key; the variable "+keyVariable+" may hold the key instead.").
		Envar("HYSSOPSAIL_KEY_FILE").PlaceHolder("FILE").StringVar(&c.keyFile)
	parser.Flag("secret-file", "The fleet's secret: for init and the first fleet subtree, before operators are known.").
		Envar("HYSSOPSAIL_SECRET_FILE").PlaceHolder("FILE").StringVar(&c.secretFile)
	parser.Flag("authority", "The fleet's certificate authority: ask by HTTPS.").
		Envar("HYSSOPSAIL_AUTHORITY").PlaceHolder("FILE").StringVar(&c.authority)
}

// client returns a client that authenticates with the operator's key or, without
// one, with the fleet's secret.
func (c *connection) client() (*operator.Client, error) {
	key, err := c.operatorKey()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if key == "" {
		return c.bootstrapClient()
	}
	return c.clientFor(key)
}

// bootstrapClient returns a client that authenticates with the fleet's secret.
func (c *connection) bootstrapClient() (*operator.Client, error) {
	if c.secretFile == "" {
		return nil, withExitCode(exitUsage, trace.BadParameter("no key: give --key-file, %s, or --secret-file for a new fleet", keyVariable))
	}
	secret, err := readKey(c.secretFile)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return c.clientFor(secret)
}

func (c *connection) clientFor(key string) (*operator.Client, error) {
	if len(c.addresses) == 0 {
		return nil, withExitCode(exitUsage, trace.BadParameter("no daemon to ask: give --address ip:port"))
	}
	options := operator.ClientOptions{Addresses: c.addresses, Key: key}
	if c.authority != "" {
		config, err := operator.ClientTLS(c.authority)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		options.TLS = config
	}
	return operator.NewClient(options), nil
}

func (c *connection) operatorKey() (string, error) {
	if c.keyFile != "" {
		return readKey(c.keyFile)
	}
	return os.Getenv(keyVariable), nil
}

func readKey(path string) (string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return "", trace.ConvertSystemError(err)
	}
	key := strings.TrimSpace(string(data))
	if key == "" {
		return "", trace.BadParameter("%s is empty", path)
	}
	return key, nil
}
